package controller_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/filter"
)

type fixedVMList []controller.VM

func (l fixedVMList) VMs(context.Context) ([]controller.VM, error) { return l, nil }

type discardPool struct{}

func (discardPool) SetLocal(string, []filter.Target)  {}
func (discardPool) SetRemote(string, []filter.Target) {}

// countingChecker counts the checks by address. No target is leaving.
type countingChecker struct {
	mu     sync.Mutex
	counts map[string]int
}

func (a *countingChecker) IsLeaving(_ context.Context, address string) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.counts[address]++

	return false, nil
}

func (a *countingChecker) count(address string) int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.counts[address]
}

type soleDaemon struct{}

func (soleDaemon) IsFirstRanked(string) bool           { return true }
func (soleDaemon) IsTargetLeaving(string, string) bool { return false }
func (soleDaemon) MarkTargetLeaving(string, string)    {}

// Guards against a check that a plain service treats as a call. A stand-in counted ten such checks as runs with an
// empty body.
func TestPlainServicesAreNotCheckedForLeaving(t *testing.T) {
	Convey("Given an engine and a plain service", t, func() {
		l := fixedVMList{
			controller.NewTargetVM("engine", "engine", "d", "r", "signwriter", false),
			controller.NewTargetVM("plain", "plain", "d", "r", "billing", false).AsPlain(),
		}
		g := controller.NewTargets(l, discardPool{}, "d")
		a := &countingChecker{counts: map[string]int{}}
		x, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer stop()

		g.UpdateVMs(l, 0)
		_ = controller.NewLeavingMonitor(g, a, soleDaemon{}, "d").Run(x)

		Convey("only the engine is checked for leaving", func() {
			So(a.count("engine"), ShouldBeGreaterThan, 0)
			So(a.count("plain"), ShouldEqual, 0)
		})
	})
}
