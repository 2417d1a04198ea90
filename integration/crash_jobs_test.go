package integration_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// checkScenario runs a scenario with each seed and checks that the sound items are completed in time, that no result is
// wrong, and that requests that crash workers soon reach none any more. seeds is the number of seeds by default.
func checkScenario(t *testing.T, o scenarioOptions, seeds uint64) {
	t.Helper()

	l := crashSeeds(t, seeds)
	if len(l) == 0 {
		t.Skip("a longer run; AGATEGAP_CRASH_RUNS sets the number of seeds")
	}

	for _, seed := range l {
		Convey(fmt.Sprintf("Given jobs, seed %d", seed), t, func() {
			c := runScenario(t, seed, o)
			open, wrong := c.openSoundItems()
			c.logState(open, wrong)

			So(wrong, ShouldBeEmpty)
			So(open, ShouldBeEmpty)
			So(c.lateDeadlyRuns(), ShouldBeLessThanOrEqualTo, budgetRequests)
		})
	}
}

// Guards against sound items that stay open after workers have crashed under them and started again slowly.
func TestJobsBesideWorkerCrashes(t *testing.T) {
	checkScenario(t, scenarioOptions{length: 6 * time.Second, crashes: true, jobs: 8, items: 12, coldTime: 2 * time.Second, coldGap: 250 * time.Millisecond}, 0)
}

// Guards against sound items that stay open because they share parts with requests and items that crash workers.
func TestJobsBesideDeadlyPrompts(t *testing.T) {
	checkScenario(t, scenarioOptions{length: 6 * time.Second, deadly: true, jobs: 8, items: 12, coldTime: 2 * time.Second, coldGap: 250 * time.Millisecond}, 0)
}

// Guards against sound items that stay open while workers crash, some of them under a part of prompts, and the slot owner
// and a daemon with jobs are restarted.
func TestJobsBesideRestarts(t *testing.T) {
	o := scenarioOptions{
		length: 8 * time.Second, crashes: true, deadly: true, restarts: true, jobs: 8, items: 12, coldTime: 2 * time.Second, coldGap: 250 * time.Millisecond,
	}
	checkScenario(t, o, 1)
}
