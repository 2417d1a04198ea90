package front_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/front"
	"github.com/agategap/agategap/outcome"
)

type fakeAccounts struct{}

func (fakeAccounts) Account(k string) (filter.Account, bool) { return filter.NewAccount(k, 0), k == "good" }

func startServer(h filter.HandlerFunc, read, write time.Duration) *httptest.Server {
	f := front.New(h, fakeAccounts{}, nil, nil, time.Now)
	f.SetTimeouts(read, write)

	return httptest.NewServer(f.Handler())
}

func post(url, key, body string) (int, string) {
	r, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()

	b, _ := io.ReadAll(a.Body)

	return a.StatusCode, string(b)
}

const streamRequest = `{"model":"m","stream":true,"messages":[]}`

// Guards against a truncated stream that a caller takes for a whole one.
func TestErrorAfterStreamStart(t *testing.T) {
	Convey("An error after the first chunk is an event and no end marker follows", t, func() {
		s := startServer(func(_ context.Context, r *filter.Request, k filter.Sink) error {
			_ = k.Emit(filter.NewHead(r.ID(), http.StatusOK, "text/event-stream"))
			_ = k.Emit(filter.NewChunk(r.ID(), 0, nil, "level"))

			return outcome.New(outcome.IncompleteResponse, outcome.Failed, "the target broke off").WithCause(errors.New("secret cause"))
		}, 0, 0)
		defer s.Close()

		code, b := post(s.URL+"/v1/chat/completions", "good", streamRequest)
		So(code, ShouldEqual, http.StatusOK)
		So(b, ShouldContainSubstring, `"code":"incomplete_answer"`)
		So(b, ShouldContainSubstring, `"outcome":"failed"`)
		So(b, ShouldNotContainSubstring, "[DONE]")
		So(b, ShouldNotContainSubstring, "secret cause")
	})
}

// Guards against input without a bound, and against a stranger who makes a daemon read bodies.
func TestInputLimits(t *testing.T) {
	Convey("Given the interface", t, func() {
		called := false
		s := startServer(func(context.Context, *filter.Request, filter.Sink) error { called = true; return nil }, 0, 0)
		defer s.Close()

		for _, c := range []struct {
			path, key, body string
			code            int
			want            string
		}{
			{"/v1/chat/completions", "bad", strings.Repeat("x", 100), http.StatusUnauthorized, `"not_run"`},
			{"/services/x/y", "bad", "{}", http.StatusUnauthorized, `"not_run"`},
			{"/v1/chat/completions", "good", strings.Repeat("x", front.MaxBodyBytes+1), http.StatusRequestEntityTooLarge, "too_large"},
			{"/v1/chat/completions", "good", "{", http.StatusBadRequest, "not valid JSON"},
			{"/v1/batches?service=x", "good", "{}\n", http.StatusBadRequest, "Idempotency-Key"},
			{"/v2/none", "good", "", http.StatusNotFound, "does not exist"},
		} {
			code, b := post(s.URL+c.path, c.key, c.body)
			So(code, ShouldEqual, c.code)
			So(b, ShouldContainSubstring, c.want)
		}

		So(called, ShouldBeFalse)
	})
}

// Guards against a caller that sends its body so slowly that it holds the daemon's memory, and against a deadline for
// reading that cuts the handling of the request.
func TestSlowBody(t *testing.T) {
	Convey("Given a short time for reading", t, func() {
		s := startServer(func(ctx context.Context, r *filter.Request, k filter.Sink) error {
			select {
			case <-time.After(300 * time.Millisecond):
			case <-ctx.Done():
				return ctx.Err()
			}

			_ = k.Emit(filter.NewHead(r.ID(), http.StatusOK, "text/plain"))

			return k.Emit(filter.NewEnd(r.ID(), "stop", 0, 0))
		}, 100*time.Millisecond, 0)
		defer s.Close()

		Convey("a body that does not arrive is refused as not run", func() {
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			So(err, ShouldBeNil)
			defer c.Close()

			_, _ = io.WriteString(c, "POST /services/x/y HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\nContent-Length: 10\r\n\r\nab")
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))

			b := make([]byte, 1024)
			n, err := c.Read(b)
			So(err, ShouldBeNil)
			So(string(b[:n]), ShouldContainSubstring, "504")
		})
		Convey("a request that runs longer than the time for reading is answered", func() {
			code, _ := post(s.URL+"/services/x/y", "good", "{}")
			So(code, ShouldEqual, http.StatusOK)
		})
	})
}

// Guards against a caller that stops reading and holds a stream for ever, and against a bound on the whole response
// that cuts long streams.
func TestSlowReader(t *testing.T) {
	Convey("Given a short time for each write", t, func() {
		ended := make(chan error, 1)
		s := startServer(func(ctx context.Context, r *filter.Request, k filter.Sink) error {
			_ = k.Emit(filter.NewHead(r.ID(), http.StatusOK, "text/event-stream"))

			text := strings.Repeat("x", 64<<10)
			for i := 0; r.Path() == "/v1/completions" || i < 10; i++ {
				if i < 10 && r.Path() != "/v1/completions" {
					text = "x"

					time.Sleep(40 * time.Millisecond)
				}

				if err := k.Emit(filter.NewChunk(r.ID(), i, nil, text)); err != nil {
					ended <- err

					return err
				}
			}

			return k.Emit(filter.NewEnd(r.ID(), "stop", 0, 0))
		}, 0, 200*time.Millisecond)
		defer s.Close()

		Convey("a caller that stops reading is cut off", func() {
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			So(err, ShouldBeNil)
			defer c.Close()

			_, _ = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\nContent-Length: 41\r\n\r\n"+streamRequest)

			select {
			case err := <-ended:
				So(outcome.Is(err, outcome.Cancelled), ShouldBeTrue)
			case <-time.After(10 * time.Second):
				So("the stream still runs", ShouldBeEmpty)
			}
		})
		Convey("a stream that lasts longer than the time for one write is complete", func() {
			_, b := post(s.URL+"/v1/chat/completions", "good", streamRequest)
			So(b, ShouldEndWith, "data: [DONE]\n\n")
		})
	})
}
