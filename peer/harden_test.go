package peer_test

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/peer"
	"github.com/agategap/agategap/wire"
)

const key = "0123456789abcdef"

func startServer(tb testing.TB) (*peer.Server, string) {
	tb.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}

	s := peer.NewServer(peer.NewKeys([]string{key}))
	_ = s.Register("Echo", Echo{})

	go func() { _ = s.Serve(l) }()

	tb.Cleanup(s.Close)

	return s, l.Addr().String()
}

// startMutingProxy forwards connections. Those that were accepted while silent is set carry nothing back.
func startMutingProxy(tb testing.TB, to string, silent *atomic.Bool) string {
	tb.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}

	tb.Cleanup(func() { l.Close() })

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			d, err := net.Dial("tcp", to)
			if err != nil {
				return
			}

			tb.Cleanup(func() { c.Close(); d.Close() })

			mute := &atomic.Bool{}
			first := silent.CompareAndSwap(false, true)

			go func() { io.Copy(d, c); d.Close() }()
			go func() {
				b := make([]byte, 4096)

				for {
					n, err := d.Read(b)
					if err != nil {
						c.Close()

						return
					}

					if first && mute.Load() {
						continue
					}

					c.Write(b[:n])
					mute.Store(n != 32) // the handshake's messages have 32 bytes
				}
			}()
		}
	}()

	return l.Addr().String()
}

// Guards against a call that waits without end on a connection that went silent, and against keeping it in use while
// a new one works.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	Convey("Given a connection whose answers stop after the first call", t, func() {
		_, a := startServer(t)
		c := peer.NewClient(peer.NewKeys([]string{key}))
		defer c.Close()

		a = startMutingProxy(t, a, &atomic.Bool{})
		say := func() error {
			x, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer stop()

			var r string

			return c.Call(x, a, "Echo.Say", "ab", &r)
		}

		So(say(), ShouldBeNil)
		So(say(), ShouldEqual, context.DeadlineExceeded)
		So(say(), ShouldBeNil)
		So(c.Counts()["replaced"], ShouldEqual, 1)
	})
}

// Guards against one slow call that ends the others on its connection.
func TestSlowCallKeepsConnection(t *testing.T) {
	Convey("Given a call that expires while others are answered", t, func() {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		s := peer.NewServer(peer.NewKeys([]string{key}))
		_ = s.Register("Slow", Slow{})

		go func() { _ = s.Serve(l) }()

		defer s.Close()

		c := peer.NewClient(peer.NewKeys([]string{key}))
		defer c.Close()

		var r string

		long := make(chan error, 1)

		go func() { long <- c.Call(context.Background(), l.Addr().String(), "Slow.Wait", 800, new(string)) }()

		x, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer stop()

		So(c.Call(x, l.Addr().String(), "Slow.Wait", 600, &r), ShouldEqual, context.DeadlineExceeded)
		So(<-long, ShouldBeNil)
	})
}

type Slow struct{}

func (Slow) Wait(ms int, r *string) error {
	time.Sleep(time.Duration(ms) * time.Millisecond)

	return nil
}

// Guards against a process without a key that fills the memory or takes all connections.
func TestUnauthenticatedConnectionsAreBounded(t *testing.T) {
	Convey("Given many connections that prove nothing", t, func() {
		s, a := startServer(t)

		for range 200 {
			c, err := net.Dial("tcp", a)
			So(err, ShouldBeNil)
			defer c.Close()

			c.Write(bytes.Repeat([]byte{0xff}, 64))
		}

		So(eventually(func() bool { return s.Counts()["refused_key"] > 0 }), ShouldBeTrue)
		So(s.Counts()["refused_key"]+s.Counts()["refused_limit"], ShouldBeGreaterThan, 0)
		So(s.Counts()["in_bytes"], ShouldEqual, 0)
	})
}

func eventually(f func() bool) bool {
	for range 100 {
		if f() {
			return true
		}

		time.Sleep(20 * time.Millisecond)
	}

	return false
}

// dialAuthenticated returns a raw connection that has proved the key.
func dialAuthenticated(tb testing.TB, address string) net.Conn {
	tb.Helper()

	c, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}

	own, other := make([]byte, 32), make([]byte, 32)
	c.Write(own)
	io.ReadFull(c, other)

	h := hmac.New(sha256.New, []byte(key))
	h.Write([]byte("client"))
	h.Write(own)
	h.Write(other)
	c.Write(h.Sum(nil))

	if _, err := io.ReadFull(c, other); err != nil {
		tb.Fatal(err)
	}

	return c
}

func encodeFrame(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }

// Guards against bytes of an authenticated but broken peer that stop the server, or that keep a connection open
// for ever.
func FuzzFrames(f *testing.F) {
	head, _ := wire.Marshal([]any{"Echo.Say", 1, ""})
	body, _ := wire.Marshal("ab")

	f.Add(append(encodeFrame(head), encodeFrame(body)...))
	f.Add(append(encodeFrame(head), encodeFrame([]byte{1, 0xc1})...))
	f.Add(append(encodeFrame(head), encodeFrame([]byte{2, 0x28, 0xb5, 0x2f, 0xfd})...))
	f.Add(append(encodeFrame(head), 0xff, 0xff, 0xff, 0xff))
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte{0, 0, 0x40, 1})
	f.Add(encodeFrame([]byte{1, 0xdf, 0xff, 0xff, 0xff, 0xff}))
	f.Add(encodeFrame([]byte{1, 0x93, 0xdb, 0xff, 0xff, 0xff, 0xff}))

	_, a := startServer(f)
	good := peer.NewClient(peer.NewKeys([]string{key}))
	f.Cleanup(good.Close)

	f.Fuzz(func(t *testing.T, b []byte) {
		c := dialAuthenticated(t, a)
		defer c.Close()

		c.Write(b)
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(5 * time.Second))

		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the connection stayed open")
		}

		x, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()

		var r string
		if err := good.Call(x, a, "Echo.Say", "ab", &r); err != nil || r != "abab" {
			t.Fatalf("the server no longer answers: %v", err)
		}
	})
}
