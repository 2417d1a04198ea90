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

type fixedList []controller.Machine

func (l fixedList) VMs(context.Context) ([]controller.Machine, error) { return l, nil }

type noPool struct{}

func (noPool) SetLocal(string, []filter.Target)  {}
func (noPool) SetRemote(string, []filter.Target) {}

// asked counts the questions to targets.
type asked struct {
	mu    sync.Mutex
	names map[string]int
}

func (a *asked) IsLeaving(_ context.Context, address string) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.names[address]++

	return false, nil
}

func (a *asked) count(address string) int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.names[address]
}

type ownsAll struct{}

func (ownsAll) Owns(string) bool              { return true }
func (ownsAll) Departing(string, string) bool { return false }
func (ownsAll) Depart(string, string)         {}

// Guards against a question that a plain service takes for a call: the stand-in counted ten runs with an empty body.
func TestPlainServicesAreNotAskedWhetherTheyAreLeaving(t *testing.T) {
	Convey("Given an engine and a plain service", t, func() {
		l := fixedList{
			controller.NewTargetMachine("engine", "engine", "d", "r", "signwriter", false),
			controller.NewTargetMachine("plain", "plain", "d", "r", "billing", false).AsPlain(),
		}
		g := controller.NewTargets(l, noPool{}, "d")
		a := &asked{names: map[string]int{}}
		x, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer stop()

		g.Receive(l, 0)
		_ = controller.NewStates(g, a, ownsAll{}, "d").Run(x)

		Convey("only the engine is asked", func() {
			So(a.count("engine"), ShouldBeGreaterThan, 0)
			So(a.count("plain"), ShouldEqual, 0)
		})
	})
}
