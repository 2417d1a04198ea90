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

// MaxFrameBytes bounds the encoded body of a message between daemons.
const MaxFrameBytes = 8 << 20

const (
	// maxHeaderBytes bounds the header of a message, which has a sequence number and a method name or an error text.
	maxHeaderBytes = 16 << 10
	// writeTimeout bounds a write, as a peer may no longer read.
	writeTimeout = 5 * time.Second
	// frameTimeout bounds the time from the first byte of a message to its last.
	frameTimeout = 10 * time.Second
	// idleTimeout is the time after which the server closes a connection without a new request. Heartbeats use the
	// connections within a failure domain far more often.
	idleTimeout = 5 * time.Minute
)

var errOversized = errors.New("the message is too large")

// frameHeader precedes the body of every message. It is encoded as an array, because heartbeats are small and field
// names would double their size.
type frameHeader struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Method   string
	Seq      uint64
	Error    string
}

// framedConn reads and writes messages, each of a header and a body. Header and body are each preceded by their length,
// 4 bytes in big endian. mu serializes writes; reads come from a single goroutine.
type framedConn struct {
	conn         net.Conn
	reader       *bufio.Reader
	counters     *counters
	lastReceived atomic.Int64 // time of the last message received, Unix nanoseconds; 0 before the first one
	lastBytes    int          // size of the header or body read last, with its length prefix
	mu           sync.Mutex
}

func newFramedConn(c net.Conn, n *counters) *framedConn {
	return &framedConn{conn: c, reader: bufio.NewReader(c), counters: n}
}

const lengthPrefixBytes = 4

// readHeader waits for the next message and returns its header. The wait for its first byte is bounded by maxWait, or
// not bounded if maxWait is 0.
func (f *framedConn) readHeader(maxWait time.Duration) (frameHeader, error) {
	_ = f.conn.SetReadDeadline(deadlineAfter(maxWait))

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

// deadlineAfter returns the time after d from now; for 0 the zero time, which means no deadline.
func deadlineAfter(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}

	return time.Now().Add(d)
}

// read reads a header or body of at most maxBytes into v, or discards it if v is nil. The buffer grows with the bytes
// that arrive, so that an announced length alone takes no memory.
func (f *framedConn) read(v any, maxBytes uint32) error {
	var h [lengthPrefixBytes]byte
	if _, err := io.ReadFull(f.reader, h[:]); err != nil {
		return err
	}

	n := binary.BigEndian.Uint32(h[:])
	if n > maxBytes {
		f.counters.oversized.Add(1)

		return fmt.Errorf("%w: %d bytes, the limit is %d", errOversized, n, maxBytes)
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

// write sends a header and a body in a single write and returns the number of bytes written. A failed write
// closes the connection.
func (f *framedConn) write(h frameHeader, body any) (int, error) {
	var p []byte

	for _, v := range []any{&h, body} {
		b, err := wire.Marshal(v)
		if err != nil {
			return 0, err
		}

		if len(b) > MaxFrameBytes {
			return 0, fmt.Errorf("%w: %d bytes, the limit is %d", errOversized, len(b), MaxFrameBytes)
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
		_ = f.conn.Close() // a part of the message may have been sent
	}

	return n, err
}

// serverCodec is the net/rpc codec of a server.
type serverCodec struct {
	*framedConn

	method      string // method of the request that is being read
	headerBytes int    // size of its header, with the length prefix
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

// outgoingCall has the arguments of a call and whether any byte of the call was sent. If a connection is closed,
// net/rpc returns the same error for calls that were sent and calls that were not, so the codec sets sent. It does so
// in the goroutine that starts the call.
type outgoingCall struct {
	args any
	sent bool
}

var errNotOutgoingCall = errors.New("the arguments of the call are not an outgoingCall")

// WriteRequest writes the arguments of an outgoing call and sets whether any of its bytes were sent.
func (c clientCodec) WriteRequest(r *rpc.Request, v any) error {
	o, ok := v.(*outgoingCall)
	if !ok {
		return errNotOutgoingCall
	}

	n, err := c.write(frameHeader{Method: r.ServiceMethod, Seq: r.Seq}, o.args)
	o.sent = n > 0

	return err
}

// ReadResponseHeader waits without a limit, because each call has its own deadline.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader(0)
	r.Seq, r.Error = h.Seq, h.Error

	return err
}

func (c clientCodec) ReadResponseBody(v any) error { return c.read(v, MaxFrameBytes) }
func (c clientCodec) Close() error                 { return c.conn.Close() }
