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

// logLines collects what a logger writes.
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

// Guards against requests that end with their daemon and of which no line tells, and against lines that grow with the load.
func TestInFlightLog(t *testing.T) {
	Convey("With a hundred requests under way", t, func() {
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

		Convey("those that have ended are named no more, and nothing is written without any", func() {
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
