package driver_test

import (
	"errors"
	"time"

	"github.com/agategap/agategap/standin/worker"
)

// movedRoute submits batch jobs for a service whose only worker is lost for good. Then the configuration moves the route
// to a service with idle workers. The jobs have to be completed there.
func movedRoute(rec *recorder, trouble bool) (bool, error) {
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
	}
	var jobs []*job
	for n := range 9 {
		j := newJob("/board/", 10, 4000)
		if s.submit(j, append(s.daemons[n%len(s.daemons):len(s.daemons):len(s.daemons)], s.daemons[:n%len(s.daemons)]...), clientLimit, 2) {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 {
		return false, errors.New("no job was accepted")
	}
	ended := time.Now()
	rec.line("the traffic has ended: %d jobs are accepted", len(jobs))
	time.Sleep(time.Second)
	s.configure(serviceName)

	time.Sleep(time.Until(ended.Add(completionTime)))

	running := s.recentRuns(serviceName)
	missing := s.countMissing(jobs)
	rec.line("%d answers lack results, %.1f s after the end of the traffic and %.1f s after the route was moved", missing, time.Since(ended).Seconds(), time.Since(ended).Seconds()-1)

	if missing > 0 {
		time.Sleep(20 * time.Second)
		rec.line("for information, 20 s later: %d answers lack results", s.countMissing(jobs))
	}

	return missing > 0 && running == 0, nil
}
