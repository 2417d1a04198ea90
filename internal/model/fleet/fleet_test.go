package fleet_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/internal/model/fleet"
	"github.com/agategap/agategap/internal/model/load"
)

// seeds is the number of seeds over which a test adds up the results.
const seeds = 4

// play plays a pattern with several seeds and returns the sum of the results.
func play(s fleet.Settings, name string) fleet.Result {
	p, ok := load.Find(name)
	So(ok, ShouldBeTrue)

	var sum fleet.Result

	for n := range uint64(seeds) {
		r := fleet.Run(s, p, n)
		sum.OnTime += r.OnTime
		sum.OnReturn += r.OnReturn
		sum.Late += r.Late
		sum.Failed += r.Failed
		sum.Refusals += r.Refusals
		sum.ItemsOnTime += r.ItemsOnTime
		sum.ItemsLate += r.ItemsLate
		sum.Reference += r.Reference
	}

	return sum
}

// Guards against a fleet that does not return to what its workers can do: late requests that are served before new ones,
// refused callers that return during the overload, and batch work that keeps slots from online requests.
func TestPatterns(t *testing.T) {
	Convey("Pattern herd-return: after a restart of all daemons, callers are served as if nothing were left from before", t, func() {
		r := play(fleet.Settings{Load: 0.7}, "herd-return")
		So(r.ServedOnTime(), ShouldBeGreaterThan, 0.98)
	})

	Convey("Pattern steps: while the load exceeds the workers, callers are served now or on their return", t, func() {
		for _, l := range []float64{0.6, 0.7} {
			r := play(fleet.Settings{Load: l}, "steps")
			So(r.ServedOnTime(), ShouldBeGreaterThan, 0.95)
			So(r.Served(), ShouldBeGreaterThan, 0.99)
		}
	})

	Convey("Pattern burst: a burst above the capacity costs no more than its excess", t, func() {
		r := play(fleet.Settings{Load: 0.8}, "burst")
		So(r.ServedOnTime(), ShouldBeGreaterThan, 0.95)
		So(r.Served(), ShouldBeGreaterThan, 0.99)
	})

	Convey("Pattern dark-workers: the other workers serve the requests of those that are away", t, func() {
		So(play(fleet.Settings{Load: 0.6}, "dark-workers").ServedOnTime(), ShouldBeGreaterThan, 0.98)
	})

	Convey("Pattern job-burst: a burst of batch jobs does not delay online requests, and the items are done", t, func() {
		r := play(fleet.Settings{Load: 0.6}, "job-burst")
		So(r.ServedOnTime(), ShouldBeGreaterThan, 0.98)
		So(r.ItemsOnTime, ShouldBeGreaterThan, 10*r.ItemsLate)
	})

	Convey("A run depends only on its settings, pattern and seed", t, func() {
		p, _ := load.Find("steps")
		So(fleet.Run(fleet.Settings{}, p, 7), ShouldResemble, fleet.Run(fleet.Settings{}, p, 7))
		So(fleet.Run(fleet.Settings{}, p, 7), ShouldNotResemble, fleet.Run(fleet.Settings{}, p, 8))
	})
}

func ExampleRun() {
	p, _ := load.Find("steady")
	r := fleet.Run(fleet.Settings{Load: 0.3}, p, 1)
	fmt.Println(r.Failed, r.Late, r.OnTime == r.Callers())
	// Output: 0 0 true
}
