package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/peer"
)

type Echo struct{}

func (Echo) Say(a string, r *string) error {
	*r = a + a

	return nil
}

func callOnce(server, client []string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}

	s := peer.NewServer(peer.NewKeys(server))
	_ = s.Register("Echo", Echo{})

	go func() { _ = s.Serve(l) }()

	defer s.Close()

	c := peer.NewClient(peer.NewKeys(client))
	defer c.Close()

	x, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()

	var r string

	err = c.Call(x, l.Addr().String(), "Echo.Say", "ab", &r)

	return r, err
}

// Guards against a daemon that answers a process without the shared key, and against a key change that cuts
// daemons off from each other.
func TestPeersProveASharedKey(t *testing.T) {
	const older, newer = "0123456789abcdef", "fedcba9876543210"

	Convey("Given a server with a key", t, func() {
		Convey("a client with the key is answered", func() {
			r, err := callOnce([]string{older}, []string{older})
			So(err, ShouldBeNil)
			So(r, ShouldEqual, "abab")
		})
		Convey("a client without it is not", func() {
			_, err := callOnce([]string{older}, []string{newer})
			So(err, ShouldNotBeNil)
		})
		Convey("during a change a client with either key is answered", func() {
			for _, k := range []string{older, newer} {
				r, err := callOnce([]string{newer, older}, []string{k})
				So(err, ShouldBeNil)
				So(r, ShouldEqual, "abab")
			}
		})
	})
}

type Blocking struct{ called, release chan struct{} }

func (b Blocking) Wait(_ string, _ *string) error {
	b.called <- struct{}{}
	<-b.release

	return nil
}

// Guards against a call that reached the peer being reported as not sent, which made the caller's refusal say "not run",
// and against its being sent again.
func TestSentCallIsNotReportedAsNotSent(t *testing.T) {
	Convey("Given a call that the peer works on", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)

		b := Blocking{called: make(chan struct{}, 2), release: make(chan struct{})}
		s := peer.NewServer(peer.NewKeys(nil))
		So(s.Register("Blocking", b), ShouldBeNil)

		go func() { _ = s.Serve(l) }()

		defer s.Close()
		defer close(b.release)

		c := peer.NewClient(peer.NewKeys(nil))
		done := make(chan error, 1)

		go func() {
			x, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()

			var r string

			done <- c.Call(x, l.Addr().String(), "Blocking.Wait", "", &r)
		}()

		<-b.called
		c.Close()

		Convey("closing its connection says nothing about its effect", func() {
			err := <-done
			So(err, ShouldNotBeNil)
			So(errors.Is(err, peer.ErrNotSent), ShouldBeFalse)
			So(len(b.called), ShouldEqual, 0)
		})
	})
}
