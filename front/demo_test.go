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

// logBuffer collects the log lines of several daemons. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
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

func sendRequest(method, address, path, bearerKey, idempotencyKey, body string) (int, string) {
	r, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+bearerKey)

	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()

	b, _ := io.ReadAll(a.Body)

	return a.StatusCode, string(b)
}

// Guards against changes that break callers who use the OpenAI client library and set only its base URL and key.
func TestUnmodifiedClient(t *testing.T) {
	d, err := startDemo(io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()

	c := openai.NewClient(option.WithBaseURL("http://"+d.CallerAddress(0)+"/v1"), option.WithAPIKey(demo.Key))
	x, stop := context.WithTimeout(context.Background(), 30*time.Second)

	defer stop()

	params := openai.ChatCompletionNewParams{Model: "signwriter", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("level 3, 12 bays free")}}

	Convey("A chat completion has a message and token counts", t, func() {
		a, err := c.Chat.Completions.New(x, params)
		So(err, ShouldBeNil)
		So(a.Choices[0].Message.Content, ShouldNotBeEmpty)
		So(a.Usage.CompletionTokens, ShouldBeGreaterThan, 0)

		Convey("and a streamed one has the same text", func() {
			s := c.Chat.Completions.NewStreaming(x, params)
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
	Convey("A text completion has a text", t, func() {
		a, err := c.Completions.New(x, openai.CompletionNewParams{Model: "signwriter", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("level 3")}})
		So(err, ShouldBeNil)
		So(a.Choices[0].Text, ShouldNotBeEmpty)
	})
	Convey("An error response is decoded into the error type of the client library", t, func() {
		params := params
		params.Model = "none"

		_, err := c.Chat.Completions.New(x, params)

		var e *openai.Error
		So(err, ShouldHaveSameTypeAs, e)
		So(err.(*openai.Error).StatusCode, ShouldEqual, http.StatusNotFound) //nolint:errorlint // checked above
		So(err.(*openai.Error).Code, ShouldEqual, "not_found")               //nolint:errorlint // checked above
	})
}

// Guards against an account that reads, changes or collides with the work of another account, and against secrets in
// logs, dumps, metrics and responses.
func TestAccountsAreIsolated(t *testing.T) {
	var l logBuffer

	d, err := startDemo(&l)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()

	const item = `{"custom_id":"a","body":{"messages":[{"role":"user","content":"private-text"}]}}`

	Convey("With a result and a job of one account", t, func() {
		code, notice := sendRequest("POST", d.CallerAddress(0), "/services/billing/notices", demo.Key, "k1", `{"amount":1}`)
		So(code, ShouldEqual, 200)

		code, b := sendRequest("POST", d.CallerAddress(0), "/v1/batches?service=signwriter", demo.Key, "j1", item)
		So(code, ShouldEqual, 202)

		id := strings.Split(b, `"`)[3]

		Convey("another account finds neither the result nor the job", func() {
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
		Convey("requests of another account with the same idempotency keys are separate work", func() {
			runs := d.ServiceRuns()
			code, otherNotice := sendRequest("POST", d.CallerAddress(3), "/services/billing/notices", demo.OtherKey, "k1", `{"amount":1}`)
			So(code, ShouldEqual, 200)
			So(d.ServiceRuns(), ShouldEqual, runs+1)
			So(otherNotice, ShouldNotBeEmpty)
			So(notice, ShouldNotBeEmpty)

			code, b := sendRequest("POST", d.CallerAddress(3), "/v1/batches?service=signwriter", demo.OtherKey, "j1", item)
			So(code, ShouldEqual, 202)
			So(b, ShouldNotContainSubstring, id)
		})
		Convey("no key and no request body reaches logs, dumps, metrics or error responses", func() {
			_, rejected := sendRequest("POST", d.CallerAddress(1), "/v1/batches?service=signwriter", "stranger-key-value", "j1", item)
			all := l.String() + rejected

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
