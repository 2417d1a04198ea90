package integration_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against sound items that are held back for two minutes because all workers crashed once while they ran the first
// items of a job: their shared part is quarantined, and no response is left that could clear it.
func TestJobWhoseWorkersCrashAtOnce(t *testing.T) {
	for _, seed := range crashSeeds(t, 1) {
		Convey(fmt.Sprintf("Given a job whose first items run at four workers that crash at once, seed %d", seed), t, func() {
			r := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
			f := newCrashFleet(t, fleetOptions{daemons: 3, workers: 4, slots: 1, events: 12, gap: 150 * time.Millisecond, spread: 60 * time.Millisecond})
			n := f.daemons[r.IntN(3)]

			items := []promptItem{}
			for k := range 8 {
				items = append(items, promptItem{fmt.Sprint("item-", k), fmt.Sprintf("route:100,job:100,item-%d:50", k)})
			}

			So(f.submit(n, "job", items), ShouldBeTrue)
			f.eventually(5*time.Second, "all workers run items", func() bool {
				running := 0

				for _, i := range items {
					if s, _ := f.running(i.id); s != nil {
						running++
					}
				}

				return running == len(f.seats)
			})

			var wg sync.WaitGroup

			for _, s := range f.seats {
				reset, away := r.IntN(2) == 0, awayTime+time.Duration(r.IntN(1000))*time.Millisecond

				wg.Go(func() { s.crash(reset, away) })
			}

			wg.Wait()

			open, wrong := f.waitCompleted(n, "job", items, time.Now().Add(runTarget+maxAwayTime))
			t.Logf("seed %d: open items: %s\n%s", seed, strings.Join(open, " "), f.quarantineLog())

			So(wrong, ShouldBeEmpty)
			So(open, ShouldBeEmpty)
		})
	}
}
