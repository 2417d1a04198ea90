package proxy_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/standin/proxy"
)

// echo returns the address of a server that sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go func() { _, _ = io.Copy(c, c) }()
		}
	}()

	return l.Addr().String()
}

// call sends a byte and returns the error of reading the response.
func call(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))

	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}

	_, err := c.Read(make([]byte, 1))

	return err
}

// Guards against a crash that the soak injects and that daemons see in another form, so that a form is never tried, and
// against workers that are not back at their address.
func TestCrashViews(t *testing.T) {
	for _, v := range []struct {
		view      proxy.CrashView
		open, new error // of the read on an open and a new connection while the target is down
	}{
		{proxy.CrashReset, syscall.ECONNRESET, syscall.ECONNREFUSED},
		{proxy.CrashEnd, io.EOF, syscall.ECONNREFUSED},
		{proxy.CrashSilent, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
	} {
		Convey("A crash is seen as "+v.open.Error()+" and then as "+v.new.Error(), t, func() {
			p, err := proxy.New(echo(t))
			So(err, ShouldBeNil)

			defer p.Close()

			c, err := net.Dial("tcp", p.Address())
			So(err, ShouldBeNil)

			defer c.Close()

			So(call(c), ShouldBeNil)

			p.Crash(v.view)

			_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
			_, err = c.Read(make([]byte, 1))
			So(errors.Is(err, v.open), ShouldBeTrue)

			n, err := net.Dial("tcp", p.Address())
			if err == nil {
				defer n.Close()

				err = call(n)
			}

			So(errors.Is(err, v.new), ShouldBeTrue)

			So(p.Restart(), ShouldBeNil)

			again, err := net.Dial("tcp", p.Address())
			So(err, ShouldBeNil)

			defer again.Close()

			So(call(again), ShouldBeNil)
			So(call(c), ShouldNotBeNil)
		})
	}
}
