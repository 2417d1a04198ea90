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
	// silentTime is how long the store is silent (platform_down how silent, for_s 4.5).
	silentTime = 4500 * time.Millisecond
	// burstTime is the time within which the jobs come.
	burstTime = 400 * time.Millisecond
	// longLimit is the time limit of the clients of batch jobs at the grown site of Faellesvagt (LATER.md).
	longLimit = 8 * time.Second
)

// silentStore submits batch jobs while the store is silent. When it answers again, it does the calls that it has got
// meanwhile. The clients make one attempt each.
func silentStore(rec *recorder, trouble bool) (bool, error) {
	s, err := newSystem(rec, 1, 2, worker.Options{Slots: 8, Queue: 24, Events: 10, Gap: 5 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer closeSystem()

	s.configure(otherService)
	if err := s.startAll(); err != nil {
		return false, err
	}

	if trouble {
		gate := make(chan struct{})
		s.store.set(func() { s.store.paused = gate })
		rec.line("store: silent")
		time.AfterFunc(silentTime, func() {
			s.store.set(func() { s.store.paused = nil })
			rec.line("store: answers again, %v after it became silent", silentTime)
			close(gate)
		})
	}

	var (
		mu      sync.Mutex
		refused []*job
		count   = map[int]int{}
		wg      sync.WaitGroup
	)
	for n := range 90 {
		wg.Go(func() {
			time.Sleep(rand.N(burstTime))
			j := newJob("/plan/", 10, 2000)
			d := s.daemons[n%len(s.daemons)]
			sent := time.Now()
			status, h, _ := call(d, http.MethodPost, j.prefix+j.id[:6], jobHost, map[string]string{"Request-Id": j.id, "Content-Type": "application/json"}, j.body, longLimit)
			rec.line("job %s submitted at %s: %s after %.3f s, Retry-After %q", j.id, d.name, statusText(status), time.Since(sent).Seconds(), h.Get("Retry-After"))
			mu.Lock()
			defer mu.Unlock()
			count[status]++
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				refused = append(refused, j)
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)

	for status, n := range count {
		rec.line("%d jobs were answered with %s", n, statusText(status))
	}
	if !trouble && count[http.StatusAccepted] == 0 {
		return false, errors.New("no job was accepted")
	}

	ran := map[string]bool{}
	for _, k := range s.workers {
		for _, v := range k.w.Runs() {
			ran[v.ID] = true
		}
	}
	broken := 0
	for _, j := range refused {
		items := 0
		for _, id := range j.items {
			if ran[id] {
				items++
			}
		}
		status, p := s.results(s.daemons[0], j, 0, 0)
		rec.line("job %s was answered with 503: %d of its %d items ran; read at %s: %s, %d results", j.id, items, len(j.items), s.daemons[0].name, statusText(status), len(p.Results))
		if items > 0 {
			broken++
		}
	}
	rec.line("%d of %d jobs that were answered with 503 ran", broken, len(refused))

	return broken > 0, nil
}
