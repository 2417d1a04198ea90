package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/wire"
)

// MaxFrameBytes bounds one message between daemons.
const MaxFrameBytes = 8 << 20

const (
	// maxHeaderBytes bounds the head of a call, which has a method name, a number and perhaps an error.
	maxHeaderBytes = 16 << 10
	// writeTimeout bounds a write to a peer that no longer reads.
	writeTimeout = 5 * time.Second
	// frameTimeout bounds the time from the first byte of a message to its last.
	frameTimeout = 10 * time.Second
	// idleTimeout closes connections that nobody uses. Heartbeats use each connection within a failure domain far
	// more often.
	idleTimeout = 5 * time.Minute
)

var errOversized = errors.New("the message is above the bound")

// frameHeader precedes every message. It is an array on the wire, as heartbeats are small and field names would double
// their size.
type frameHeader struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Method   string
	Seq      uint64
	Error    string
}

// framedConn reads and writes messages behind their length, 4 bytes in big endian.
type framedConn struct {
	conn   net.Conn
	reader     *bufio.Reader
	counters *counters
	lastReceived  atomic.Int64 // time of the last message, Unix nanoseconds
	lastBytes   int          // bytes of the part read last
	mu     sync.Mutex
}

func newFramedConn(c net.Conn, n *counters) *framedConn {
	return &framedConn{conn: c, reader: bufio.NewReader(c), counters: n}
}

const lengthPrefixBytes = 4

// readHeader waits for the next message.
func (f *framedConn) readHeader(idle time.Duration) (frameHeader, error) {
	_ = f.conn.SetReadDeadline(deadlineAfter(idle))

	if _, err := f.reader.Peek(1); err != nil {
		return frameHeader{}, err
	}

	_ = f.conn.SetReadDeadline(deadlineAfter(frameTimeout))

	var h frameHeader

	err := f.read(&h, maxHeaderBytes)
	if err == nil {
		f.lastReceived.Store(time.Now().UnixNano())
	}

	return h, err
}

func deadlineAfter(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}

	return time.Now().Add(d)
}

// read reads one part of a message. The buffer grows with what arrives, so that an announced length alone takes
// no memory.
func (f *framedConn) read(v any, most uint32) error {
	var h [lengthPrefixBytes]byte
	if _, err := io.ReadFull(f.reader, h[:]); err != nil {
		return err
	}

	n := binary.BigEndian.Uint32(h[:])
	if n > most {
		f.counters.oversized.Add(1)

		return fmt.Errorf("%w: %d bytes, at most %d", errOversized, n, most)
	}

	var b bytes.Buffer
	if _, err := io.CopyN(&b, f.reader, int64(n)); err != nil {
		return err
	}

	f.lastBytes = int(n) + lengthPrefixBytes
	f.counters.inBytes.Add(int64(f.lastBytes))

	if v == nil {
		return nil
	}

	if err := wire.Unmarshal(b.Bytes(), v); err != nil {
		f.counters.malformed.Add(1)

		return err
	}

	return nil
}

// write sends a head and a body in one piece.
func (f *framedConn) write(h frameHeader, body any) (int, error) {
	var p []byte

	for _, v := range []any{&h, body} {
		b, err := wire.Marshal(v)
		if err != nil {
			return 0, err
		}

		if len(b) > MaxFrameBytes {
			return 0, fmt.Errorf("%w: %d bytes, at most %d", errOversized, len(b), MaxFrameBytes)
		}

		p = binary.BigEndian.AppendUint32(p, uint32(len(b))) //nolint:gosec // bounded above
		p = append(p, b...)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	_ = f.conn.SetWriteDeadline(deadlineAfter(writeTimeout))

	n, err := f.conn.Write(p)
	f.counters.outBytes.Add(int64(n))

	if err != nil {
		_ = f.conn.Close() // a part of the message may have left
	}

	return n, err
}

// serverCodec is the net/rpc codec of a server.
type serverCodec struct {
	*framedConn

	method string // of the request that is being read
	headerBytes   int    // bytes of its head
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader(idleTimeout)
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	c.method, c.headerBytes = h.Method, c.lastBytes

	return err
}

func (c *serverCodec) ReadRequestBody(v any) error {
	err := c.read(v, MaxFrameBytes)
	c.counters.addServiceBytes(c.method, int64(c.headerBytes+c.lastBytes))

	return err
}

func (c *serverCodec) WriteResponse(r *rpc.Response, v any) error {
	n, err := c.write(frameHeader{Seq: r.Seq, Error: r.Error}, v)
	c.counters.addServiceBytes(r.ServiceMethod, int64(n))

	return err
}

func (c *serverCodec) Close() error { return c.conn.Close() }

// clientCodec is the net/rpc codec of a client.
type clientCodec struct{ *framedConn }

// outgoingCall has the arguments of a call. net/rpc ends a call that was sent and one that was not with the same error
// when its connection is closed, so the codec notes which it is. It writes in the goroutine that starts the call.
type outgoingCall struct {
	args any
	sent bool
}

var errNotOutgoingCall = errors.New("the arguments are not those of an outgoing call")

// WriteRequest writes the arguments of an outgoing call and notes whether any of its bytes left.
func (c clientCodec) WriteRequest(r *rpc.Request, v any) error {
	o, ok := v.(*outgoingCall)
	if !ok {
		return errNotOutgoingCall
	}

	n, err := c.write(frameHeader{Method: r.ServiceMethod, Seq: r.Seq}, o.args)
	o.sent = n > 0

	return err
}

// ReadResponseHeader waits without a deadline: each call has its own.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader(0)
	r.Seq, r.Error = h.Seq, h.Error

	return err
}

func (c clientCodec) ReadResponseBody(v any) error { return c.read(v, MaxFrameBytes) }
func (c clientCodec) Close() error                 { return c.conn.Close() }
