package logging_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/logging"
)

// Guards against a daemon that blocks because nobody reads its standard output.
func TestStalledReaderDoesNotBlockWriter(t *testing.T) {
	Convey("When nobody reads the pipe that the logger writes to", t, func() {
		r, w, err := os.Pipe()
		So(err, ShouldBeNil)

		defer r.Close()

		z := logging.New(w, zerolog.InfoLevel, func(int) {})
		began := time.Now()

		for range 20_000 {
			z.Info().Str("text", strings.Repeat("x", 200)).Msg("line")
		}

		Convey("writing 4 MB of lines does not block", func() {
			So(time.Since(began), ShouldBeLessThan, 2*time.Second)
		})
	})
}

// Guards against a log whose size grows with the load.
func TestLimiter(t *testing.T) {
	Convey("Beyond the rate limit, lines of a kind are suppressed and counted, and other kinds are not affected", t, func() {
		var b logging.Limiter

		now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
		n := 0

		for i := range 10_000 {
			if b.Allow("attempt_failed", now.Add(time.Duration(i)*time.Millisecond)) {
				n++
			}
		}

		So(n, ShouldBeBetweenOrEqual, 500, 610)
		So(b.TakeSuppressed()["attempt_failed"], ShouldEqual, 10_000-n)
		So(b.TakeSuppressed(), ShouldBeEmpty)
		So(b.Allow("other", now), ShouldBeTrue)
	})

	Convey("One in 16 ordinary lines is allowed", t, func() {
		var b logging.Limiter

		n := 0

		for i := range 160 {
			if b.Sample("completed", time.Unix(int64(i), 0)) {
				n++
			}
		}

		So(n, ShouldEqual, 10)
	})
}

func BenchmarkLogLine(b *testing.B) {
	for _, level := range []zerolog.Level{zerolog.InfoLevel, zerolog.Disabled} {
		b.Run(level.String(), func(b *testing.B) {
			z := logging.New(discard{}, level, func(int) {})

			for b.Loop() {
				z.Info().Str("event", "sent").Str("request", "9c41d07be2a35f68").Int("attempt", 1).Msg("request step")
			}
		})
	}
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
