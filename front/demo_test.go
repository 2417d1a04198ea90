package front_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/demo"
)

// logBuffer collects log lines of several daemons.
type logBuffer struct {
	mu sync.Mutex
	buffer  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.buffer.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.buffer.String()
}

func startDemo(w io.Writer) (*demo.Demo, error) {
	d, err := demo.Start(context.Background(), demo.Options{}, zerolog.New(w).Level(zerolog.DebugLevel))
	if err != nil {
		return nil, err
	}

	x, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()

	return d, d.WaitReady(x)
}

func sendRequest(method, address, path, bearer, key, body string) (int, string) {
	r, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+bearer)

	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()

	b, _ := io.ReadAll(a.Body)

	return a.StatusCode, string(b)
}

// Guards against a change that breaks callers who use the usual client and set nothing but its base URL.
func TestUnmodifiedClient(t *testing.T) {
	d, err := startDemo(io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()

	c := openai.NewClient(option.WithBaseURL("http://"+d.CallerAddress(0)+"/v1"), option.WithAPIKey(demo.Key))
	x, stop := context.WithTimeout(context.Background(), 30*time.Second)

	defer stop()

	q := openai.ChatCompletionNewParams{Model: "signwriter", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("level 3, 12 bays free")}}

	Convey("Chat", t, func() {
		a, err := c.Chat.Completions.New(x, q)
		So(err, ShouldBeNil)
		So(a.Choices[0].Message.Content, ShouldNotBeEmpty)
		So(a.Usage.CompletionTokens, ShouldBeGreaterThan, 0)

		Convey("and streamed chat give the same text", func() {
			s := c.Chat.Completions.NewStreaming(x, q)
			text := ""

			for s.Next() {
				if v := s.Current(); len(v.Choices) > 0 {
					text += v.Choices[0].Delta.Content
				}
			}

			So(s.Err(), ShouldBeNil)
			So(text, ShouldEqual, a.Choices[0].Message.Content)
		})
	})
	Convey("Completions", t, func() {
		a, err := c.Completions.New(x, openai.CompletionNewParams{Model: "signwriter", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("level 3")}})
		So(err, ShouldBeNil)
		So(a.Choices[0].Text, ShouldNotBeEmpty)
	})
	Convey("An error is one of the client's errors", t, func() {
		q := q
		q.Model = "none"

		_, err := c.Chat.Completions.New(x, q)

		var e *openai.Error
		So(err, ShouldHaveSameTypeAs, e)
		So(err.(*openai.Error).StatusCode, ShouldEqual, http.StatusNotFound) //nolint:errorlint // checked above
		So(err.(*openai.Error).Code, ShouldEqual, "not_found")               //nolint:errorlint // checked above
	})
}

// Guards against an account that reads, changes or collides with another one's work, and against secrets in logs,
// dumps, metrics and answers.
func TestAccountsAreIsolated(t *testing.T) {
	var l logBuffer

	d, err := startDemo(&l)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()

	const item = `{"custom_id":"a","body":{"messages":[{"role":"user","content":"private-text"}]}}`

	Convey("Given work of one account", t, func() {
		code, own := sendRequest("POST", d.CallerAddress(0), "/services/billing/notices", demo.Key, "k1", `{"amount":1}`)
		So(code, ShouldEqual, 200)

		code, b := sendRequest("POST", d.CallerAddress(0), "/v1/batches?service=signwriter", demo.Key, "j1", item)
		So(code, ShouldEqual, 202)

		id := strings.Split(b, `"`)[3]

		Convey("the other account finds neither result nor job", func() {
			for _, c := range []struct{ method, path string }{
				{"GET", "/v1/results/k1"},
				{"GET", "/v1/results/lintas%00k1"},
				{"GET", "/v1/batches/" + id},
				{"GET", "/v1/batches/" + id + "/results"},
				{"POST", "/v1/batches/" + id + "/cancel"},
				{"POST", "/v1/batches/" + id + "/amend?priority=9"},
			} {
				code, b := sendRequest(c.method, d.CallerAddress(3), c.path, demo.OtherKey, "", "")
				So(code, ShouldEqual, 404)
				So(b, ShouldNotContainSubstring, "private-text")
			}

			code, b := sendRequest("GET", d.CallerAddress(3), "/v1/batches/"+id, demo.Key, "", "")
			So(code, ShouldEqual, 200)
			So(b, ShouldNotContainSubstring, "cancelled")
			So(b, ShouldContainSubstring, `"priority":0`)
		})
		Convey("the same keys of the other account are other work", func() {
			runs := d.ServiceRuns()
			code, other := sendRequest("POST", d.CallerAddress(3), "/services/billing/notices", demo.OtherKey, "k1", `{"amount":1}`)
			So(code, ShouldEqual, 200)
			So(d.ServiceRuns(), ShouldEqual, runs+1)
			So(other, ShouldNotBeEmpty)
			So(own, ShouldNotBeEmpty)

			code, b := sendRequest("POST", d.CallerAddress(3), "/v1/batches?service=signwriter", demo.OtherKey, "j1", item)
			So(code, ShouldEqual, 202)
			So(b, ShouldNotContainSubstring, id)
		})
		Convey("no key reaches logs, dumps, metrics or answers", func() {
			_, refused := sendRequest("POST", d.CallerAddress(1), "/v1/batches?service=signwriter", "stranger-key-value", "j1", item)
			all := l.String() + refused

			for i := range 6 {
				for _, p := range []string{"/dump", "/metrics", "/ready"} {
					_, b := sendRequest("GET", d.OperatorAddress(i), p, "", "", "")
					all += b
				}
			}

			So(len(all), ShouldBeGreaterThan, 1000)

			for _, k := range []string{demo.Key, demo.OtherKey, demo.PeerKey, "stranger-key-value", "private-text"} {
				So(all, ShouldNotContainSubstring, k)
			}
		})
	})
}
