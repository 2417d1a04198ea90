package driver_test

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/agategap/agategap/standin/worker"
)

const (
	// completionTime is completion_s, and calmTime the time before its end for which the rule looks at the workers.
	completionTime = 18 * time.Second
	calmTime       = 5 * time.Second
)

// lostService submits batch jobs for two services with workers of their own. The only worker of one of them is lost for
// good. The jobs for the other service have to be completed.
func lostService(rec *recorder, trouble bool) (bool, error) {
	o := worker.Options{Slots: 8, Queue: 24, Events: 40, Gap: 10 * time.Millisecond}
	s, err := newSystem(rec, 1, 2, o)
	if err != nil {
		return false, err
	}
	defer closeSystem()

	o.ID = "i-02d9e6b4"
	if err := s.addWorker(worker.New(o), o, otherService, zones[0]); err != nil {
		return false, err
	}
	s.register()
	s.configure(otherService)
	if err := s.startAll(); err != nil {
		return false, err
	}

	if trouble {
		s.lose(s.workers[len(s.workers)-1])
		time.Sleep(stableTime + 3*heartbeat)
	}

	// Each daemon gets its share of the calls, as the platform spreads new channels.
	at := func(n int) []*daemon {
		l := append([]*daemon(nil), s.daemons[n%len(s.daemons):]...)

		return append(l, s.daemons[:n%len(s.daemons)]...)
	}
	var boards, plans []*job
	for n := range 30 {
		j := newJob("/board/", 10, 4000)
		if s.submit(j, at(n), clientLimit, 2) {
			boards = append(boards, j)
		}
		time.Sleep(rand.N(100 * time.Millisecond))
	}
	time.Sleep(time.Second)
	for n := range 6 {
		j := newJob("/plan/", 10, 4000)
		if s.submit(j, at(n), clientLimit, 2) {
			plans = append(plans, j)
		}
	}
	if len(plans) == 0 || len(boards) == 0 {
		return false, errors.New("no job was accepted")
	}
	ended := time.Now()
	rec.line("the traffic has ended: %d jobs for %s and %d for %s are accepted", len(boards), otherService, len(plans), serviceName)

	time.Sleep(completionTime)

	running := s.recentRuns(serviceName)
	missing := s.countMissing(plans)
	rec.line("%d answers lack results of items for %s, %.1f s after the end of the traffic", missing, serviceName, time.Since(ended).Seconds())

	return missing > 0 && running == 0, nil
}

// recentRuns returns how many runs at the workers of a service were under way in the last calmTime.
func (s *system) recentRuns(service string) int {
	const runTime = 2 * time.Second // far above that of an item, 0.4 s

	recent, runs := 0, 0
	for _, k := range s.workers {
		if k.service != service {
			continue
		}
		for _, v := range k.w.Runs() {
			runs++
			if v.Start.Add(runTime).After(time.Now().Add(-calmTime)) {
				recent++
			}
		}
	}
	s.rec.line("workers of %s: %d runs in all, %d of them in the last %v", service, runs, recent, calmTime)

	return recent
}

// countMissing reads jobs at all daemons and returns how many answers lack results.
func (s *system) countMissing(jobs []*job) int {
	missing := 0
	for _, j := range jobs {
		for _, d := range s.daemons {
			status, p := s.results(d, j, 0, 0)
			s.rec.line("job %s (%s) at %s: %s, %d of %d results", j.id, j.prefix, d.name, statusText(status), len(p.Results), len(j.items))
			if status == http.StatusOK && len(p.Results) < len(j.items) {
				missing++
			}
		}
	}

	return missing
}
