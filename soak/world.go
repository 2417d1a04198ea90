package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/agategap/agategap/standin/proxy"
	"github.com/agategap/agategap/standin/store"
	"github.com/agategap/agategap/standin/worker"
)

const (
	host     = "soak.example"
	service  = "soak"
	domains  = 3
	events   = 30
	eventGap = 10 * time.Millisecond
	slots    = 6
	queue    = 4
	// objective is the time to the first event, and the longest pause, that is on time.
	objective = 600 * time.Millisecond
	// due and retain are the times after which a job is due and may be given up.
	due    = 18 * time.Second
	retain = 2 * time.Minute
	// readyWithin bounds the start of a daemon. A start takes a few hundred milliseconds.
	readyWithin = 30 * time.Second
	// restartDelay is the time before a process that ended on its own or was killed starts again.
	restartDelay = 200 * time.Millisecond
	// grace bounds the shutdown of a daemon, after which the platform kills it.
	grace = 8 * time.Second
	// renewEvery is the time between two entries that a worker writes.
	renewEvery = time.Second
)

// daemon is one process of the program.
type daemon struct {
	vm, caller, operator, peer string
	settings                   string
	store                      *proxy.Proxy // in front of the store
	peers                      *proxy.Proxy // in front of its listener for other daemons

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	run   int // number of starts
}

// target is a worker behind a proxy.
type target struct {
	id     string
	worker *worker.Worker
	proxy  *proxy.Proxy

	mu    sync.Mutex
	state string
}

// world is a small deployment: stand-ins of the store and the workers in this process, and daemons as processes of their
// own.
type world struct {
	program string
	dir     string
	store   *store.Store
	ports   Ports
	servers []*http.Server
	targets []*target
	daemons []*daemon

	mu      sync.Mutex
	version int
	stopped bool
}

// serve serves a stand-in on a loopback address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listens at once
	if err != nil {
		return "", err
	}

	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)

	go func() { _ = s.Serve(l) }() // ends with close

	return l.Addr().String(), nil
}

// newWorld builds a deployment and starts its daemons.
func newWorld(ctx context.Context, o Options) (*world, error) {
	w := &world{program: o.Program, dir: o.Dir, store: store.New(store.Options{Seed: o.Seed})}

	a, err := w.serve(w.store.Handler())
	if err != nil {
		return w, err
	}

	for i := range o.Workers {
		if err := w.addTarget(i); err != nil {
			return w, err
		}
	}

	if err := w.configure(); err != nil {
		return w, err
	}

	for i := range o.Daemons {
		d, err := w.newDaemon(i, a)
		if err != nil {
			return w, err
		}

		w.daemons = append(w.daemons, d)

		if err := w.start(d); err != nil {
			return w, err
		}
	}

	for _, d := range w.daemons {
		if err := d.ready(ctx); err != nil {
			return w, err
		}
	}

	return w, nil
}

func domain(i int) string { return fmt.Sprint("domain-", i%domains) }

func (w *world) addTarget(i int) error {
	t := &target{id: fmt.Sprint("worker-", i), state: "ready"}
	t.worker = worker.New(worker.Options{ID: t.id, Slots: slots, Queue: queue, Events: events, Gap: eventGap})

	a, err := w.serve(t.worker.Handler())
	if err != nil {
		return err
	}

	t.proxy, err = proxy.New(a)
	if err != nil {
		return err
	}

	w.targets = append(w.targets, t)

	return w.announce(i)
}

// announce writes the entry of a worker.
func (w *world) announce(i int) error {
	t := w.targets[i]

	t.mu.Lock()
	defer t.mu.Unlock()

	return w.store.PutRegistration(t.id, store.Registration{Service: service, Address: t.proxy.Address(), Zone: domain(i), Slots: slots, State: t.state})
}

func (w *world) setState(i int, state string) error {
	t := w.targets[i]

	t.mu.Lock()
	t.state = state
	t.mu.Unlock()

	return w.announce(i)
}

// renew writes the entries of the workers again and again, as they do. An entry that could be written once always can.
func (w *world) renew(ctx context.Context) {
	for {
		select {
		case <-time.After(renewEvery):
		case <-ctx.Done():
			return
		}

		for i := range w.targets {
			_ = w.announce(i)
		}
	}
}

// configure publishes the next version, which has one more route than the one before.
func (w *world) configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.version++

	base := store.Route{
		Host: host, Kind: "streaming", Service: service, TimeoutMS: requestLimit.Milliseconds(),
		ObjectiveMS: objective.Milliseconds(), PauseMS: objective.Milliseconds(), Attempts: 2, //nolint:mnd // has no effect where nothing may be repeated
	}

	var l []store.Route

	add := func(name string, change func(r *store.Route)) {
		r := base
		r.Name, r.Prefix = name, "/"+name+"/"
		change(&r)
		l = append(l, r)
	}

	for v := 1; v <= w.version; v++ {
		add(fmt.Sprint("v", v), func(*store.Route) {})
	}

	add("once", func(*store.Route) {})
	add("again", func(r *store.Route) { r.Resumable, r.Attempts = true, 3 }) //nolint:mnd // several workers
	add("batch", func(r *store.Route) {
		r.Kind, r.RunMS, r.RetainS = "batch", due.Milliseconds(), int64(retain.Seconds())
	})

	return w.store.PutConfig(w.version, l)
}

func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.version
}

func (w *world) newDaemon(i int, address string) (*daemon, error) {
	a, err := w.ports.Take(3) //nolint:mnd // callers, operators, daemons
	if err != nil {
		return nil, err
	}

	p, err := proxy.New(address)
	if err != nil {
		return nil, err
	}

	q, err := proxy.New(a[2])
	if err != nil {
		return nil, err
	}

	d := &daemon{vm: fmt.Sprint("vm-", i), caller: a[0], operator: a[1], peer: a[2], store: p, peers: q}
	d.settings = filepath.Join(w.dir, d.vm+".toml")

	return d, os.WriteFile(d.settings, fmt.Appendf(nil, "vm = %q\nfailure_domain = %q\ninterface = \"routed\"\n"+
		"caller_address = %q\noperator_address = %q\npeer_address = %q\npeer_announce = %q\nplatform = %q\npeer_keys = [\"soak on loopback only\"]\n"+
		"drain_wait = \"1s\"\ndrain_most = %q\n", d.vm, domain(i), d.caller, d.operator, d.peer, q.Address(), p.Address(), grace), 0o600)
}

// start starts the process of a daemon, whose output is added to its log file.
func (w *world) start(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()

	f, err := os.OpenFile(filepath.Join(w.dir, d.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the process has its own descriptor

	c := exec.Command(w.program, "serve", "-settings", d.settings) //nolint:gosec,noctx // the program under test; ended by close
	c.Stdout, c.Stderr = f, f

	if err := c.Start(); err != nil {
		return err
	}

	ended := make(chan struct{})
	d.cmd, d.ended = c, ended
	d.run++

	go func() {
		_ = c.Wait() // killed processes end with an error
		close(ended)
	}()

	return nil
}

// restart starts a daemon again once its process has ended.
func (w *world) restart(d *daemon) error {
	<-d.end()
	time.Sleep(restartDelay)

	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()

	if stopped {
		return nil
	}

	return w.start(d)
}

func (d *daemon) end() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.ended
}

// signal sends a signal to the process of a daemon, and to no other.
func (d *daemon) signal(s os.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()

	err := d.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}

	return err
}

// runs returns the number of starts.
func (d *daemon) runs() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.run
}

// ready waits until a daemon is ready.
func (d *daemon) ready(ctx context.Context) error {
	x, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()

	for {
		r, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+d.operator+"/ready", nil)
		if err != nil {
			return err
		}

		if a, err := http.DefaultClient.Do(r); err == nil {
			_ = a.Body.Close()

			if a.StatusCode == http.StatusOK {
				return nil
			}
		}

		select {
		case <-time.After(50 * time.Millisecond): //nolint:mnd // polls
		case <-x.Done():
			return fmt.Errorf("%s is not ready: %w", d.vm, x.Err())
		}
	}
}

// close ends the processes and the stand-ins.
func (w *world) close() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()

	for _, d := range w.daemons {
		if d.cmd == nil {
			continue
		}

		_ = d.signal(syscall.SIGCONT) // what has ended needs no signal
		_ = d.signal(os.Kill)
		<-d.end()
		d.store.Close()
		d.peers.Close()
	}

	for _, t := range w.targets {
		t.proxy.Close()
	}

	for _, s := range w.servers {
		_ = s.Close()
	}

	w.ports.Close()
}
