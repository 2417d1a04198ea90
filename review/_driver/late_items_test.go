package driver_test

import (
	"errors"
	"net/http"
	"time"

	"github.com/agategap/agategap/standin/worker"
)

const (
	// lateAfter is how long after it arrived the store does the write whose answer it loses: "done 1 to 6 s later".
	lateAfter = 5 * time.Second
	// clientLimit is the time limit of the client of a batch job (SYSTEM.md).
	clientLimit = 4 * time.Second
	// settleTime is settle_ms, stableTime is stable_window_ms.
	settleTime = time.Second
	stableTime = 3 * time.Second
)

// lateItems submits a batch job whose records exceed one call of the store. The store loses the answer of one write and
// does it 5 s later. The client's next attempt is accepted, all items are completed and read. Then all daemons are
// restarted in turn.
func lateItems(rec *recorder, trouble bool) (bool, error) {
	s, err := newSystem(rec, 2, 2, worker.Options{Slots: 8, Queue: 24, Events: 10, Gap: 5 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer closeSystem()

	s.configure(otherService)
	if err := s.startAll(); err != nil {
		return false, err
	}

	lost := !trouble
	s.store.set(func() {
		s.store.decide = func(c writeCall) fate {
			if !lost && c.topic == "keyed.batch" {
				lost = true
				rec.line("store: the answer of a write of %d bytes to %s/%s is lost; it is done %v later", c.bytes, c.topic, c.part, lateAfter)

				return fate{lost: true, late: lateAfter}
			}

			return fate{}
		}
	})

	submittedAt := time.Now()
	j := newJob("/plan/", 200, 12500)
	if !s.submit(j, s.daemons, clientLimit, 2) {
		return false, errors.New("the job was not accepted")
	}
	if !s.follow(j, s.daemons, 20*time.Second) {
		return false, errors.New("not all results were read")
	}
	if d := time.Since(submittedAt); trouble && d > lateAfter {
		rec.line("the results came too late for the case: %v", d)

		return false, errors.New("the job took too long")
	}
	time.Sleep(time.Until(submittedAt.Add(lateAfter + 2*time.Second)))
	rec.line("store: %d writes so far, %d of them without an answer", s.store.appends, s.store.lost)

	for _, d := range s.daemons {
		status, _ := s.results(d, j, 0, 0)
		rec.line("job %s at %s: %s", j.id, d.name, statusText(status))
	}
	for _, d := range s.daemons {
		if err := s.restart(d); err != nil {
			return false, err
		}
	}
	time.Sleep(stableTime + settleTime)

	missing := 0
	for _, d := range s.daemons {
		status, p := s.results(d, j, 0, 0)
		rec.line("job %s at %s after the restarts: %s, %d results", j.id, d.name, statusText(status), len(p.Results))
		if status == http.StatusNotFound || status == http.StatusGone {
			missing++
		}
	}
	rec.line("%d of %d daemons do not know the accepted job", missing, len(s.daemons))

	return missing > 0, nil
}
