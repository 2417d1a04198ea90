package driver_test

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/agategap/agategap/standin/worker"
)

const (
	// rounds is how often all daemons are restarted in turn, one of each zone at a time, restartGap apart (roll_term).
	rounds     = 8
	restartGap = time.Second
	// recentJobs bounds the age of the jobs that are asked for. It exceeds the time between two restarts of a daemon.
	recentJobs = 30 * time.Second
)

// restartLoad submits batch jobs all the time, which are completed within a few seconds, and restarts the daemons in
// turn.
func restartLoad(rec *recorder, trouble bool) (bool, error) {
	s, err := newSystem(rec, 2, 2, worker.Options{Slots: 8, Queue: 24, Events: 10, Gap: 5 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer closeSystem()

	s.configure(otherService)
	if err := s.startAll(); err != nil {
		return false, err
	}

	var (
		mu   sync.Mutex
		jobs []*job
		wg   sync.WaitGroup
	)
	stop := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				j := newJob("/plan/", 200, 12500)
				l := append([]*daemon(nil), s.daemons...)
				rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })
				l = onlyReady(l)
				if len(l) == 0 || !s.submit(j, l, clientLimit, 2) {
					continue
				}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				s.follow(j, l[:1], 10*time.Second)
			}
		})
	}

	var (
		lostJob *job
		lostAt  *daemon
	)
	// ask returns how often daemons say that there is no such job, of the jobs that were accepted settle_ms ago or earlier.
	ask := func(l []*daemon) int {
		mu.Lock()
		known := append([]*job(nil), jobs...)
		mu.Unlock()
		missing := 0
		for _, j := range known {
			if age := time.Since(j.accepted); age < settleTime || age > recentJobs {
				continue
			}
			for _, d := range l {
				if status, _ := s.results(d, j, 0, 0); status == http.StatusNotFound || status == http.StatusGone {
					missing++
					lostJob, lostAt = j, d
					rec.line("job %s, accepted %.1f s ago with 202, at %s, which has run for %.1f s: %d", j.id, time.Since(j.accepted).Seconds(), d.name, time.Since(d.startedAt).Seconds(), status)
				}
			}
		}

		return missing
	}

	missing := 0
	for n := 0; n < rounds && missing == 0; n++ {
		for first := 0; first < len(s.daemons); first += len(zones) {
			l := s.daemons[first : first+len(zones)]
			if n > 0 {
				missing += ask(l)
			}
			if missing > 0 {
				break
			}
			if !trouble {
				time.Sleep(4 * time.Second)

				continue
			}
			if err := s.restartTogether(l); err != nil {
				return false, err
			}
			time.Sleep(restartGap)
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(stableTime + settleTime)
	if len(jobs) == 0 {
		return false, errors.New("no job was accepted")
	}
	missing += ask(s.daemons)
	if lostJob != nil {
		s.resend(lostJob, lostAt)
	}
	rec.line("%d accepted jobs: %d answers of %d daemons say that there is no such job", len(jobs), missing, len(s.daemons))

	return missing > 0, nil
}

// onlyReady returns the daemons that the platform gives new channels to.
func onlyReady(l []*daemon) []*daemon {
	var r []*daemon
	for _, d := range l {
		if isReady(d) {
			r = append(r, d)
		}
	}

	return r
}

// restartTogether restarts several daemons at the same time.
func (s *system) restartTogether(l []*daemon) error {
	errs := make(chan error, len(l))
	for _, d := range l {
		go func() { errs <- s.restart(d) }()
	}
	var err error
	for range l {
		if e := <-errs; e != nil {
			err = e
		}
	}

	return err
}

// resend submits a finished job once more at a daemon that does not know it, and records what becomes of the results
// that were read before. This is for information.
func (s *system) resend(j *job, d *daemon) {
	status, _, _ := call(d, http.MethodPost, j.prefix+j.id[:6], jobHost, map[string]string{"Request-Id": j.id, "Content-Type": "application/json"}, j.body, clientLimit)
	s.rec.line("for information: job %s, submitted again at %s: %s", j.id, d.name, statusText(status))
	time.Sleep(5 * time.Second)

	for _, o := range s.daemons {
		status, p := s.results(o, j, 0, 0)
		changed := 0
		for i, v := range p.Results {
			if before, ok := j.read[i]; ok && before != v.ID+" "+v.State {
				changed++
			}
		}
		s.rec.line("for information: job %s at %s: %s, %d results, %d positions hold another result than the client had read before", j.id, o.name, statusText(status), len(p.Results), changed)
	}
}
