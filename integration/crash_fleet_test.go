package integration_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/agategap/agategap/standin/worker"
)

// fleetOptions are the settings of a crashFleet.
type fleetOptions struct {
	daemons, workers  int
	slots             int // of each worker
	events            int // of each response
	gap               time.Duration
	coldTime, coldGap time.Duration // a worker that has started is slow for coldTime
	deadly            string        // part of prompts that crashes workers; none if empty
	spread            time.Duration // time within which the streams of a worker that has crashed end
}

// maxAwayTime is the longest time for which a worker is away after a crash on command, and deadlyAwayTime the time for which a worker is away after a crash that a prompt has caused.
const (
	maxAwayTime    = 1500 * time.Millisecond
	deadlyAwayTime = 600 * time.Millisecond
	// entryLifetime is the time after which the registration of a worker that has crashed is removed.
	entryLifetime = 1500 * time.Millisecond
)

// crashFleet is a deployment whose workers crash, on command or under a part of prompts, and start again as new
// instances at the same address.
type crashFleet struct {
	*routedDeployment

	options         fleetOptions
	seats           []*workerSeat
	daemonProcesses []daemonRun

	mu            sync.Mutex
	boots         []*workerBoot // all instances, in order of their start
	deadlyCrashes []time.Time
	closed        bool
}

// daemonRun is one process of a daemon.
type daemonRun struct {
	vm      string
	process *process
}

// workerSeat is an address at which one instance of a worker runs after the other.
type workerSeat struct {
	fleet   *crashFleet
	number  int
	address string

	mu    sync.Mutex
	boot  *workerBoot // nil while the worker is away
	count int         // boots so far
	reset bool        // form of the next crash: connections are reset, otherwise ended
}

// workerBoot is an instance of a worker.
type workerBoot struct {
	*worker.Worker

	id       string
	server   *http.Server
	listener net.Listener
	down     chan struct{} // closed at the crash
	downOnce sync.Once
}

// crashConfig is the configuration of a crashFleet. Its objectives leave time for slow events of cold workers.
const crashConfig = `{"version":4,"routes":[
	{"name":"again","host":"h.example","path_prefix":"/again/","kind":"streaming","timeout_ms":15000,"latency_slo_ms":3000,"gap_aim_ms":3000,"max_attempts":3,"resumable":true,"service":"s"},
	{"name":"batch","host":"h.example","path_prefix":"/batch/","kind":"batch","timeout_ms":5000,"latency_slo_ms":600,"max_attempts":3,"service":"s","run_target_ms":18000,"retention_s":60,"priority":2}],
	"limits":{"max_body_bytes":4194304}}`

// runTarget is run_target_ms of the batch route in crashConfig.
const runTarget = 18 * time.Second

// newCrashFleet starts daemons and workers and waits until the daemons have read the registrations and routes.
func newCrashFleet(t *testing.T, o fleetOptions) *crashFleet {
	t.Helper()

	f := &crashFleet{routedDeployment: newLoggingDeployment(t, o.daemons, 0, "info"), options: o}
	for _, n := range f.daemons {
		f.daemonProcesses = append(f.daemonProcesses, daemonRun{n.vm, n.process})
	}

	f.store.Put("keyed.op", "config", []byte(crashConfig))

	for i, a := range freeAddresses(t, o.workers) {
		s := &workerSeat{fleet: f, number: i, address: a}
		f.seats = append(f.seats, s)
		s.start()
	}

	t.Cleanup(f.close)
	time.Sleep(time.Second) // until the daemons have read the registrations

	return f
}

// close ends all workers. None starts again.
func (f *crashFleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.closed = true

	for _, b := range f.boots {
		_ = b.server.Close()
	}
}

// start starts an instance of the worker, with a new identifier.
func (s *workerSeat) start() {
	f := s.fleet

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.closed {
		return
	}

	l, err := net.Listen("tcp", s.address)
	if err != nil {
		f.t.Errorf("worker at %s cannot listen again: %s", s.address, err)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.count++

	b := &workerBoot{id: fmt.Sprintf("w%d-%d", s.number, s.count), listener: l, down: make(chan struct{})}
	b.Worker = worker.New(worker.Options{
		ID: b.id, Slots: f.options.slots, Queue: 2 * f.options.slots, Events: f.options.events, Gap: f.options.gap, //nolint:mnd // as in the other tests
		ColdTime: f.options.coldTime, ColdGap: f.options.coldGap, OnCrash: func() { s.stop(b, deadlyAwayTime, true) },
	})
	b.setForm(f.options, s.reset)

	h := b.Handler()
	b.server = &http.Server{ConnContext: worker.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-b.down:
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})}

	go func() { _ = b.server.Serve(l) }()

	s.boot = b
	f.boots = append(f.boots, b)
	f.store.Put("keyed.servers", b.id, []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready","born":%d,"seq_no":1,"cold_left_ms":%d}`,
		s.address, f.options.slots, time.Now().UnixMilli(), f.options.coldTime.Milliseconds())))
}

// setForm sets how the connections of streams end at a crash.
func (b *workerBoot) setForm(o fleetOptions, reset bool) {
	b.SetFaults(worker.Faults{Deadly: o.deadly, CrashReset: reset, CrashSpreadMS: int(o.spread.Milliseconds())})
}

// stop makes an instance refuse connections, and starts the next one after the time away. Only the first call has an
// effect. byPrompt says that a prompt has caused the crash.
func (s *workerSeat) stop(b *workerBoot, away time.Duration, byPrompt bool) {
	b.downOnce.Do(func() {
		close(b.down)
		_ = b.listener.Close()

		f := s.fleet

		f.mu.Lock()
		if byPrompt {
			f.deadlyCrashes = append(f.deadlyCrashes, time.Now())
		}
		f.mu.Unlock()

		s.mu.Lock()
		if s.boot == b {
			s.boot = nil
		}
		s.mu.Unlock()

		// Shutdown closes the idle connections. The streams end by themselves.
		go func() {
			x, stop := context.WithTimeout(context.Background(), f.options.spread+50*time.Millisecond)
			defer stop()

			if err := b.server.Shutdown(x); errors.Is(err, context.DeadlineExceeded) {
				_ = b.server.Close()
			}
		}()

		time.AfterFunc(max(away, f.options.spread+100*time.Millisecond), s.start)
		time.AfterFunc(entryLifetime, func() { f.store.Put("keyed.servers", b.id, nil) })
	})
}

// crash crashes the instance that runs, if there is one, whatever it runs. The next one starts after the time away.
func (s *workerSeat) crash(reset bool, away time.Duration) {
	s.mu.Lock()
	b := s.boot
	s.reset = reset
	s.mu.Unlock()

	if b == nil {
		return
	}

	b.setForm(s.fleet.options, reset)
	s.stop(b, away, false)
	b.Crash()
}

// instances returns all instances so far.
func (f *crashFleet) instances() []*workerBoot {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]*workerBoot(nil), f.boots...)
}

// running returns the seat that runs the request with an ID and the events that this run has sent, or nil.
func (f *crashFleet) running(id string) (*workerSeat, int) {
	for _, s := range f.seats {
		s.mu.Lock()
		b := s.boot
		s.mu.Unlock()

		if b == nil {
			continue
		}

		l := b.Runs()
		for i := len(l) - 1; i >= 0; i-- {
			if l[i].ID == id && !l[i].Whole {
				return s, max(0, l[i].Sent-l[i].After)
			}
		}
	}

	return nil, 0
}

// crashUnder waits until a run of the request with an ID has sent a number of events, and crashes its worker.
func (f *crashFleet) crashUnder(id string, events int, reset bool, away time.Duration) {
	f.t.Helper()

	var seat *workerSeat

	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		s, n := f.running(id)
		if s != nil && n >= events {
			seat = s

			break
		}

		if time.Now().After(deadline) {
			f.t.Fatalf("request %s did not run for 10 s; %s", id, f.quarantineLog())
		}
	}

	seat.crash(reset, away)
}

// slotOwner returns the number of the daemon that owns the slots of the service.
func (f *crashFleet) slotOwner() int {
	f.t.Helper()

	for i, n := range f.daemons {
		var v struct {
			Slots map[string]any `json:"slots"`
		}

		f.getJSON(n.operatorAddress, "/dump", &v)

		if len(v.Slots) > 0 {
			return i
		}
	}

	f.t.Fatal("no daemon owns the slots")

	return 0
}
