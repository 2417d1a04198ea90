package integration_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// crashSeeds returns the seeds of the tests with crashes: n seeds from the one in AGATEGAP_CRASH_SEED on, 1 by default.
// AGATEGAP_CRASH_RUNS is the number of seeds for longer runs.
func crashSeeds(t *testing.T, n uint64) []uint64 {
	t.Helper()

	first := uint64(1)

	for name, v := range map[string]*uint64{"AGATEGAP_CRASH_SEED": &first, "AGATEGAP_CRASH_RUNS": &n} {
		text := os.Getenv(name)
		if text == "" {
			continue
		}

		k, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%s: %s", name, err)
		}

		*v = k
	}

	l := make([]uint64, n)
	for i := range l {
		l[i] = first + uint64(i)
	}

	return l
}

// Guards against a sound item that is held back for two minutes because its worker crashed three times while its attempts
// had few events: the item made progress in each of them.
func TestItemThatCrossesCrashesIsCompleted(t *testing.T) {
	for _, seed := range crashSeeds(t, 1) {
		Convey(fmt.Sprintf("Given an item whose worker crashes three times for other reasons, seed %d", seed), t, func() {
			r := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
			f := newCrashFleet(t, fleetOptions{daemons: 3, workers: 4, slots: 1, events: 24, gap: 150 * time.Millisecond, spread: 10 * time.Millisecond})
			n := f.daemons[r.IntN(3)]
			items := []promptItem{{id: "item", parts: "route:100,job:100,item:50"}}

			So(f.submit(n, "job", items), ShouldBeTrue)

			form := ""

			for range 3 {
				events, reset := 1+r.IntN(2), r.IntN(2) == 0
				form += fmt.Sprintf(" %d/%v", events, reset)
				f.crashUnder("item", events, reset, awayTime)
			}

			open, wrong := f.waitCompleted(n, "job", items, time.Now().Add(runTarget+awayTime))
			t.Logf("seed %d: events before each crash and reset:%s; runs %d; open items: %s\n%s", seed, form, f.fleetRunCount("item"), strings.Join(open, " "), f.quarantineLog())

			So(wrong, ShouldBeEmpty)
			So(open, ShouldBeEmpty)
		})
	}
}

// fleetRunCount returns how often the request with an ID ran at all instances of the workers.
func (f *crashFleet) fleetRunCount(id string) int {
	n := 0

	for _, b := range f.instances() {
		for _, r := range b.Runs() {
			if r.ID == id {
				n++
			}
		}
	}

	return n
}
