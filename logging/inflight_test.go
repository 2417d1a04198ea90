package logging_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/logging"
)

// logLines collects the decoded lines of a logger.
type logLines struct {
	mu  sync.Mutex
	all []map[string]any
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	m := map[string]any{}
	if err := json.Unmarshal(b, &m); err != nil {
		return 0, err
	}

	l.all = append(l.all, m)

	return len(b), nil
}

// Guards against requests that are lost with their daemon and appear in no log line, and against log lines that grow
// with the load.
func TestInFlightLog(t *testing.T) {
	Convey("With a hundred requests in flight, a line has their number and at most 64 of them", t, func() {
		var f logging.InFlight

		for i := range 100 {
			f.Start(fmt.Sprint("r", i), "t")
		}

		f.Start("r0", "u") // another attempt

		m, n := f.List(1000)
		So(n, ShouldEqual, 100)
		So(m["r0"], ShouldEqual, "u")

		l := &logLines{}
		ctx, stop := context.WithTimeout(context.Background(), 1200*time.Millisecond)
		defer stop()

		So(f.Run(ctx, zerolog.New(l)), ShouldBeNil)
		So(l.all, ShouldHaveLength, 2)
		So(l.all[0]["count"], ShouldEqual, 100)
		So(len(l.all[0]["requests"].(map[string]any)), ShouldEqual, 64)

		Convey("after all have ended, no line is written", func() {
			for i := range 100 {
				f.End(fmt.Sprint("r", i))
			}

			ctx, stop := context.WithTimeout(context.Background(), 1200*time.Millisecond)
			defer stop()

			So(f.Run(ctx, zerolog.New(l)), ShouldBeNil)
			So(l.all, ShouldHaveLength, 2)
		})
	})
}
