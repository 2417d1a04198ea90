package soak_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/soak"
)

// Guards against schedules that have faults without an end or of a daemon or worker that does not exist, and against
// seeds that give different faults each time.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := time.Duration(rapid.IntRange(0, 120_000).Draw(t, "ms")) * time.Millisecond
		daemons, workers := rapid.IntRange(1, 30).Draw(t, "daemons"), rapid.IntRange(1, 30).Draw(t, "workers")

		l := soak.NewSchedule(seed, length, daemons, workers)
		second := soak.NewSchedule(seed, length, daemons, workers)

		if len(l) != len(second) {
			t.Fatal("two schedules with the same seed differ")
		}

		for i, f := range l {
			switch {
			case f != second[i]:
				t.Fatal("two schedules with the same seed differ")
			case f.Start() < 0 || f.End() <= f.Start() || f.End() > length:
				t.Fatalf("%+v is not within the soak", f)
			case f.Index() >= max(daemons, workers):
				t.Fatalf("%+v names no daemon or worker", f)
			case i > 0 && f.Start() < l[i-1].Start():
				t.Fatal("the faults are not ordered by their start")
			}
		}
	})
}

// Guards against schedules that lack series, overlapping faults or a kind of fault.
func TestScheduleVaries(t *testing.T) {
	Convey("A long schedule has every kind of fault, overlapping faults and series", t, func() {
		l := soak.NewSchedule(1, 20*time.Minute, 9, 6)
		kinds := map[soak.FaultKind]int{}
		overlaps, series := 0, 0

		for i, f := range l {
			kinds[f.Kind()]++

			if i > 0 && l[i-1].End() > f.Start() {
				overlaps++
			}

			if i > 0 && l[i-1].Kind() == f.Kind() {
				series++
			}
		}

		So(len(kinds), ShouldEqual, 32)
		So(overlaps, ShouldBeGreaterThan, len(l)/4)
		So(series, ShouldBeGreaterThan, len(l)/20)
	})
}

// Guards against phases of prompts that crash workers that are too short for five crashes and their check, and against
// soaks that always or never have them.
func TestDeadlyPhases(t *testing.T) {
	Convey("Some schedules have prompts that crash workers, on requests, items or both", t, func() {
		soaks := map[string]int{}

		for seed := range uint64(200) {
			online, items := false, false

			for _, f := range soak.NewSchedule(seed, 20*time.Second, 9, 6) {
				if f.Kind() != soak.DeadlyOnline && f.Kind() != soak.DeadlyItems {
					continue
				}

				online, items = online || f.Kind() == soak.DeadlyOnline, items || f.Kind() == soak.DeadlyItems

				So(f.End()-f.Start(), ShouldBeGreaterThanOrEqualTo, 4*time.Second)
			}

			soaks[fmt.Sprint(online, items)]++
		}

		for _, k := range []string{"false false", "true false", "false true", "true true"} {
			So(soaks[k], ShouldBeGreaterThan, 20)
		}
	})
}

// Guards against reports and recorders that leave out broken promises.
func TestReport(t *testing.T) {
	Convey("A report contains the broken promises in each format", t, func() {
		r := soak.Report{
			Seed: 7, Broken: []soak.BrokenRecord{{Promise: soak.Once, AtMS: 1500, ID: "q1", What: "the request ran 2 times"}},
			Faults: []soak.FaultRecord{{Kind: soak.Kill, Index: 3, FromMS: 1000, ToMS: 2000}},
			Open:   map[string]int{"no_slot quarantined": 2},
		}

		So(r.AllPromisesKept(), ShouldBeFalse)
		So(soak.Report{}.AllPromisesKept(), ShouldBeTrue)

		for _, write := range []func(*bytes.Buffer) error{
			func(b *bytes.Buffer) error { return r.WriteText(b) },
			func(b *bytes.Buffer) error { return soak.WriteJSON(b, []soak.Report{r}) },
			func(b *bytes.Buffer) error { return soak.WriteHTML(b, []soak.Report{r}) },
		} {
			var b bytes.Buffer

			So(write(&b), ShouldBeNil)
			So(b.String(), ShouldContainSubstring, "q1")
			So(b.String(), ShouldContainSubstring, "the request ran 2 times")
			So(b.String(), ShouldContainSubstring, "no_slot quarantined")
		}
	})

	Convey("A recorder keeps broken promises and counts other events", t, func() {
		l := soak.NewRecorder()
		l.RecordBroken(soak.NotRun, "q2", "it ran")
		l.Count("answer 200")
		l.Count("answer 200")

		So(l.BrokenPromises(), ShouldHaveLength, 1)
		So(l.BrokenPromises()[0].Promise(), ShouldEqual, soak.NotRun)
		So(l.Counts()["answer 200"], ShouldEqual, 2)
	})
}

// Guards against two soaks that use the same ports, so that their daemons take each other for peers. Found by soaks
// with seeds 2012 and 3012 that ran at the same time: the port of a daemon that was down was allocated to the other
// soak.
func TestPorts(t *testing.T) {
	Convey("Allocated ports are not allocated again while nothing listens on them", t, func() {
		var a, b soak.PortAllocator

		defer a.Close()
		defer b.Close()

		seen := map[string]bool{}

		for range 60 {
			for _, p := range []*soak.PortAllocator{&a, &b} {
				l, err := p.Allocate(3)
				So(err, ShouldBeNil)
				So(l, ShouldHaveLength, 3)

				for _, v := range l {
					So(seen[v], ShouldBeFalse)
					seen[v] = true
				}
			}
		}
	})
}
