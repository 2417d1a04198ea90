package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/demo"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/standin/engine"
	"github.com/agategap/agategap/tomlfile"
)

// Guards against a shutdown that cuts off a stream, that refuses requests which arrive before the load balancer has
// noticed the shutdown, or that exits before the stream has ended.
func TestShutdownCompletesRequests(t *testing.T) {
	Convey("Given a daemon with a stream in flight", t, func() {
		x, stop := context.WithCancel(context.Background())
		defer stop()

		s, err := demo.Start(x, demo.Options{Engine: engine.Options{StepBase: 50 * time.Millisecond}}, zerolog.Nop())
		So(err, ShouldBeNil)

		d, err := daemon.New(settings.Daemon{
			VM: "drained", FailureDomain: "kv-cheras", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
			PeerAddress: "127.0.0.1:0", Platform: s.PlatformAddress(), Policy: "owner",
			DrainWait: tomlfile.NewDuration(time.Second), DrainMost: tomlfile.NewDuration(20 * time.Second),
		}, zerolog.Nop())
		So(err, ShouldBeNil)

		y, terminate := context.WithCancel(x)
		defer terminate()

		exited := make(chan error, 1)

		go func() { exited <- d.Run(y) }()

		So(eventually(func() bool { ok, _ := d.Ready(); return ok }), ShouldBeTrue)

		long := make(chan string, 1)

		go func() { long <- requestCompletion(d.CallerAddress(), 60) }() // takes 3 s, longer than the drain wait

		time.Sleep(200 * time.Millisecond)
		terminate()
		So(eventually(func() bool { ok, _ := d.Ready(); return !ok }), ShouldBeTrue)
		So(requestCompletion(d.CallerAddress(), 2), ShouldContainSubstring, "[DONE]")
		So(<-long, ShouldContainSubstring, "[DONE]")

		select {
		case err := <-exited:
			So(err, ShouldBeNil)
		case <-time.After(10 * time.Second):
			So("the daemon did not exit", ShouldBeEmpty)
		}
	})
}

// eventually waits up to 10 s for f to return true, and reports whether it did.
func eventually(f func() bool) bool {
	for range 500 {
		if f() {
			return true
		}

		time.Sleep(20 * time.Millisecond)
	}

	return false
}

// requestCompletion requests a streamed completion and returns the response body, or the text of the error.
func requestCompletion(address string, tokens int) string {
	b := fmt.Sprintf(`{"model":"signwriter","prompt":"level 3","max_tokens":%d,"stream":true}`, tokens)
	q, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(b))
	q.Header.Set("Authorization", "Bearer "+demo.Key)

	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err.Error()
	}
	defer a.Body.Close()

	r, err := io.ReadAll(a.Body)
	if err != nil {
		return err.Error()
	}

	return string(r)
}
