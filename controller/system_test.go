package controller_test

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/store"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/tomlfile"
	"github.com/agategap/agategap/wire"
)

const partitionCount = 4

// memoryLog is an append-only log in memory.
type memoryLog struct {
	mu      sync.Mutex
	streams map[string][]stream.Entry
	changed chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[string][]stream.Entry{}, changed: make(chan struct{})}
}

func (l *memoryLog) Append(_ context.Context, name string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	o := int64(len(l.streams[name]) + 1)
	l.streams[name] = append(l.streams[name], stream.NewEntry(o, time.Now(), data))
	close(l.changed)
	l.changed = make(chan struct{})

	return o, nil
}

func (l *memoryLog) Read(ctx context.Context, name string, from int64, wait time.Duration) (stream.Page, error) {
	for end := time.After(wait); ; {
		l.mu.Lock()
		s, ch := l.streams[name], l.changed
		l.mu.Unlock()

		p := stream.NewPage(nil, 1, int64(len(s)+1))
		if from <= int64(len(s)) {
			return stream.NewPage(s[from-1:], 1, int64(len(s)+1)), nil
		}

		if wait == 0 {
			return p, nil
		}

		select {
		case <-ch:
		case <-end:
			return p, nil
		case <-ctx.Done():
			return p, stream.ErrUnavailable
		}
	}
}

// unreliableLog is the log as one daemon sees it. The daemon can be cut off from it.
type unreliableLog struct {
	*memoryLog

	down atomic.Bool
}

func (l *unreliableLog) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if l.down.Load() {
		return 0, stream.ErrRefused
	}

	return l.memoryLog.Append(ctx, name, data)
}

func (l *unreliableLog) Read(ctx context.Context, name string, from int64, wait time.Duration) (stream.Page, error) {
	if l.down.Load() {
		return stream.Page{}, stream.ErrUnavailable
	}

	return l.memoryLog.Read(ctx, name, from, wait)
}

// cluster is a set of daemons that share a log and targets.
type cluster struct {
	log       *memoryLog
	settings  *fixedSettings
	targets   *fakeTargets
	clockSkew atomic.Int64

	mu      sync.Mutex
	peers   []controller.Peer
	daemons map[string]*daemon
}

func newCluster() *cluster {
	return &cluster{log: newMemoryLog(), settings: newFixedSettings(), targets: &fakeTargets{runCounts: map[string]int{}}, daemons: map[string]*daemon{}}
}

func (s *cluster) Peers() []controller.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]controller.Peer(nil), s.peers...)
}

func (s *cluster) clock() time.Time { return time.Now().Add(time.Duration(s.clockSkew.Load())) }

// advance moves the clock of the controllers forward.
func (s *cluster) advance(d time.Duration) { s.clockSkew.Add(int64(d)) }

// daemon has the controllers of journal and jobs of one daemon, and serves their net/rpc services in the cluster.
type daemon struct {
	cluster      *cluster
	vm           string
	log          *unreliableLog
	store        *store.Store
	journal      *controller.Journal
	jobs         *controller.Jobs
	runner       *controller.Runner
	services     map[string]any
	stop         context.CancelFunc
	done         sync.WaitGroup
	unreachable  atomic.Bool // calls to it and from it fail as not sent
	losesReplies atomic.Bool // calls to it take effect, but their replies are lost
}

// startDaemon starts a daemon. runsWork says whether it runs items and accepted work.
func (s *cluster) startDaemon(domain, vm string, runsWork bool) *daemon {
	n := &daemon{cluster: s, vm: vm, log: &unreliableLog{memoryLog: s.log}}
	holder := vm + "/" + fmt.Sprint(time.Now().UnixNano())
	n.store = store.New(n.log, wire.GroupCodec{}, store.NewOptions(holder, partitionCount, appender.NewLimits(0, 0, time.Millisecond), time.Now))

	f := controller.NewAssignment(s, n.store, vm, partitionCount, s.clock)
	c := discardCounter{}
	routes := controller.NewRoutes(f, n, c)
	local := controller.NewJournalService(n.store, partitionCount, c)
	grants := controller.NewJobService(n.store, s.settings, f, s.clock, c)
	n.services = map[string]any{"Journal": local, "Job": grants}
	n.journal = controller.NewJournal(routes, local, n.store, c)
	n.jobs = controller.NewJobs(n.journal, routes, grants, s.settings)
	n.runner = controller.NewRunner(controller.NewRunnerDependencies(n.jobs, controller.EndSlotWait(s.targets), s.targets, holder, domain, s.clock, c, zerolog.Nop()))
	ids := func() string { return fmt.Sprintf("%s-%d", vm, time.Now().UnixNano()) }
	a := controller.NewAcceptedRunner(controller.NewAcceptedDependencies(n.journal, s.settings, s.targets, s.targets, holder, ids, s.clock, c, zerolog.Nop()))

	s.mu.Lock()
	s.peers = append(s.peers, controller.NewPeer(vm, vm, domain, "region"))
	s.daemons[vm] = n
	s.mu.Unlock()

	f.Refresh()

	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	actors := []func(context.Context) error{f.Run, n.journal.Run}

	if runsWork {
		actors = append(actors, n.runner.Run, a.Run)
	}

	for _, r := range actors {
		n.done.Go(func() { _ = r(ctx) })
	}

	return n
}

// kill cuts a daemon off from the log and the peers, and stops it.
func (n *daemon) kill() {
	n.unreachable.Store(true)
	n.log.down.Store(true)
	n.cluster.removePeer(n.vm)
	n.stop()
	n.store.Stop()
}

func (s *cluster) removePeer(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	var l []controller.Peer

	for _, p := range s.peers {
		if p.VM() != vm {
			l = append(l, p)
		}
	}

	s.peers = l
}

func (s *cluster) stop() {
	for _, n := range s.daemons {
		n.stop()
	}

	for _, n := range s.daemons {
		n.done.Wait()
		n.store.Stop()
	}
}

// Call calls a method of another daemon. Arguments and reply are encoded and decoded as on the wire.
func (n *daemon) Call(ctx context.Context, address, method string, args, reply any) error {
	n.cluster.mu.Lock()
	to := n.cluster.daemons[address]
	n.cluster.mu.Unlock()

	if to.unreachable.Load() || n.unreachable.Load() {
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the peer cannot be reached")
	}

	name, m, _ := strings.Cut(method, ".")
	f := reflect.ValueOf(to.services[name]).MethodByName(m)
	a, r := reflect.New(f.Type().In(0)), reflect.New(f.Type().In(1).Elem())

	if err := copyEncoded(args, a.Interface()); err != nil {
		return err
	}

	f.Call([]reflect.Value{a.Elem(), r})

	if to.losesReplies.Load() || ctx.Err() != nil {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the reply was lost")
	}

	return copyEncoded(r.Interface(), reply)
}

func copyEncoded(from, to any) error {
	b, err := wire.Marshal(from)
	if err != nil {
		return err
	}

	return wire.Unmarshal(b, to)
}

type discardCounter struct{}

func (discardCounter) Count(string, int64) {}

// fakeTargets runs items and accepted work, and finds every request identifier that it ran.
type fakeTargets struct {
	mu        sync.Mutex
	runCounts map[string]int
	behavior  func(ctx context.Context, r *filter.Request) error
}

func (t *fakeTargets) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	t.mu.Lock()
	t.runCounts[r.ID()]++
	do := t.behavior
	t.mu.Unlock()

	if do != nil {
		if err := do(ctx, r); err != nil {
			return err
		}
	}

	_ = s.Emit(filter.NewHead(r.ID(), 200, "application/json"))
	_ = s.Emit(filter.NewChunk(r.ID(), 0, []byte(`{"ok":true}`), ""))

	return s.Emit(filter.NewEnd(r.ID(), "", 0, 0))
}

func (t *fakeTargets) Find(_ context.Context, _, id string) (filter.LookupResponse, bool, error) {
	return filter.NewLookupResponse(200, "application/json", []byte(`{"found":true}`)), t.runCount(id) > 0, nil
}

func (t *fakeTargets) runCount(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.runCounts[id]
}

// runTotals returns the largest number of runs of one request, and the number of requests.
func (t *fakeTargets) runTotals() (most, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, n := range t.runCounts {
		most = max(most, n)
	}

	return most, len(t.runCounts)
}

func (t *fakeTargets) setBehavior(do func(ctx context.Context, r *filter.Request) error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.behavior = do
}

// fixedSettings has a configuration with the idempotent engine "text" and the non-idempotent plain service "bill", which
// supports lookup.
type fixedSettings struct {
	tracker config.VersionTracker
}

func newFixedSettings() *fixedSettings {
	t, err := config.Format(config.Document{
		Batch: config.BatchSettings{
			ShardItems: 5, MaxAttempts: 3, Lease: tomlfile.NewDuration(2 * time.Second),
			PauseBound: tomlfile.NewDuration(time.Second), CutoffRunBound: tomlfile.NewDuration(10 * time.Second),
		},
		Services: []config.ServiceRecord{{Name: "text", Kind: config.KindEngine, Idempotent: true}, {Name: "bill", Kind: config.KindPlain, Lookup: true}},
	})
	if err != nil {
		panic(err)
	}

	s := &fixedSettings{}
	if _, err := s.tracker.Apply(1, config.Version{Text: t}); err != nil {
		panic(err)
	}

	return s
}

func (s *fixedSettings) InForce() config.AdoptedVersion { return s.tracker.InForce() }

func (s *fixedSettings) Service(name string) (filter.Service, bool) {
	for _, v := range s.InForce().Document().Services {
		if v.Name == name {
			return filter.NewService(filter.ServiceSettings{
				Name: name, Plain: v.Kind == config.KindPlain, Idempotent: v.Idempotent, Lookup: v.Lookup,
				Deadline: v.Deadline.Value(), MaxAttempts: v.MaxAttempts, RetainResults: time.Hour,
			}), true
		}
	}

	return filter.Service{}, false
}
