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
	domainCount  = 3
	eventCount   = 30
	eventInterval = 10 * time.Millisecond
	workerSlots    = 6
	workerQueue    = 4
	// latencyObjective is the time to the first event, and the longest pause, that is on time.
	latencyObjective = 600 * time.Millisecond
	// jobRunTarget and retain are the times after which a job is due and may be given up.
	jobRunTarget    = 18 * time.Second
	jobRetention = 2 * time.Minute
	// readyTimeout bounds the start of a daemon. A start takes a few hundred milliseconds.
	readyTimeout = 30 * time.Second
	// restartDelay is the time before a process that ended on its own or was killed starts again.
	restartDelay = 200 * time.Millisecond
	// shutdownTimeout bounds the shutdown of a daemon, after which the platform kills it.
	shutdownTimeout = 8 * time.Second
	// registrationInterval is the time between two entries that a worker writes.
	registrationInterval = time.Second
)

// daemon is one process of the program.
type daemon struct {
	vm, callerAddress, operatorAddress, peerAddress string
	settingsPath                   string
	storeProxy                      *proxy.Proxy // in front of the store
	peerProxy                      *proxy.Proxy // in front of its listener for other daemons

	mu    sync.Mutex
	cmd   *exec.Cmd
	exit chan struct{}
	starts   int // number of starts
}

// proxiedWorker is a worker behind a proxy.
type proxiedWorker struct {
	id     string
	worker *worker.Worker
	proxy  *proxy.Proxy

	mu    sync.Mutex
	state string
}

// deployment is a small deployment: stand-ins of the store and the workers in this process, and daemons as processes of their
// own.
type deployment struct {
	program string
	dir     string
	store   *store.Store
	portAllocator   PortAllocator
	servers []*http.Server
	workers []*proxiedWorker
	daemons []*daemon

	mu      sync.Mutex
	version int
	stopped bool
}

// serve serves a stand-in on a loopback address.
func (w *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listens at once
	if err != nil {
		return "", err
	}

	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)

	go func() { _ = s.Serve(l) }() // ends with close

	return l.Addr().String(), nil
}

// newDeployment builds a deployment and starts its daemons.
func newDeployment(ctx context.Context, o Options) (*deployment, error) {
	w := &deployment{program: o.Program, dir: o.Dir, store: store.New(store.Options{Seed: o.Seed})}

	a, err := w.serve(w.store.Handler())
	if err != nil {
		return w, err
	}

	for i := range o.Workers {
		if err := w.addWorker(i); err != nil {
			return w, err
		}
	}

	if err := w.publishConfig(); err != nil {
		return w, err
	}

	for i := range o.Daemons {
		d, err := w.newDaemon(i, a)
		if err != nil {
			return w, err
		}

		w.daemons = append(w.daemons, d)

		if err := w.startDaemon(d); err != nil {
			return w, err
		}
	}

	for _, d := range w.daemons {
		if err := d.waitReady(ctx); err != nil {
			return w, err
		}
	}

	return w, nil
}

func domain(i int) string { return fmt.Sprint("domain-", i%domainCount) }

func (w *deployment) addWorker(i int) error {
	t := &proxiedWorker{id: fmt.Sprint("worker-", i), state: "ready"}
	t.worker = worker.New(worker.Options{ID: t.id, Slots: workerSlots, Queue: workerQueue, Events: eventCount, Gap: eventInterval})

	a, err := w.serve(t.worker.Handler())
	if err != nil {
		return err
	}

	t.proxy, err = proxy.New(a)
	if err != nil {
		return err
	}

	w.workers = append(w.workers, t)

	return w.writeRegistration(i)
}

// writeRegistration writes the entry of a worker.
func (w *deployment) writeRegistration(i int) error {
	t := w.workers[i]

	t.mu.Lock()
	defer t.mu.Unlock()

	return w.store.PutRegistration(t.id, store.Registration{Service: service, Address: t.proxy.Address(), Zone: domain(i), Slots: workerSlots, State: t.state})
}

func (w *deployment) setState(i int, state string) error {
	t := w.workers[i]

	t.mu.Lock()
	t.state = state
	t.mu.Unlock()

	return w.writeRegistration(i)
}

// renewRegistrations writes the entries of the workers again and again, as they do. An entry that could be written once always can.
func (w *deployment) renewRegistrations(ctx context.Context) {
	for {
		select {
		case <-time.After(registrationInterval):
		case <-ctx.Done():
			return
		}

		for i := range w.workers {
			_ = w.writeRegistration(i)
		}
	}
}

// publishConfig publishes the next version, which has one more route than the one before.
func (w *deployment) publishConfig() error {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.version++

	base := store.Route{
		Host: host, Kind: "streaming", Service: service, TimeoutMS: requestTimeout.Milliseconds(),
		ObjectiveMS: latencyObjective.Milliseconds(), PauseMS: latencyObjective.Milliseconds(), Attempts: 2, //nolint:mnd // has no effect where nothing may be repeated
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
		r.Kind, r.RunMS, r.RetainS = "batch", jobRunTarget.Milliseconds(), int64(jobRetention.Seconds())
	})

	return w.store.PutConfig(w.version, l)
}

func (w *deployment) newestVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.version
}

func (w *deployment) newDaemon(i int, address string) (*daemon, error) {
	a, err := w.portAllocator.Allocate(3) //nolint:mnd // callers, operators, daemons
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

	d := &daemon{vm: fmt.Sprint("vm-", i), callerAddress: a[0], operatorAddress: a[1], peerAddress: a[2], storeProxy: p, peerProxy: q}
	d.settingsPath = filepath.Join(w.dir, d.vm+".toml")

	return d, os.WriteFile(d.settingsPath, fmt.Appendf(nil, "vm = %q\nfailure_domain = %q\ninterface = \"routed\"\n"+
		"caller_address = %q\noperator_address = %q\npeer_address = %q\npeer_announce = %q\nplatform = %q\npeer_keys = [\"soak on loopback only\"]\n"+
		"drain_wait = \"1s\"\ndrain_most = %q\n", d.vm, domain(i), d.callerAddress, d.operatorAddress, d.peerAddress, q.Address(), p.Address(), shutdownTimeout), 0o600)
}

// startDaemon starts the process of a daemon, whose output is added to its log file.
func (w *deployment) startDaemon(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()

	f, err := os.OpenFile(filepath.Join(w.dir, d.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the process has its own descriptor

	c := exec.Command(w.program, "serve", "-settings", d.settingsPath) //nolint:gosec,noctx // the program under test; ended by close
	c.Stdout, c.Stderr = f, f

	if err := c.Start(); err != nil {
		return err
	}

	ended := make(chan struct{})
	d.cmd, d.exit = c, ended
	d.starts++

	go func() {
		_ = c.Wait() // killed processes end with an error
		close(ended)
	}()

	return nil
}

// restartDaemon starts a daemon again once its process has ended.
func (w *deployment) restartDaemon(d *daemon) error {
	<-d.exited()
	time.Sleep(restartDelay)

	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()

	if stopped {
		return nil
	}

	return w.startDaemon(d)
}

func (d *daemon) exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.exit
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

// startCount returns the number of starts.
func (d *daemon) startCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.starts
}

// waitReady waits until a daemon is ready.
func (d *daemon) waitReady(ctx context.Context) error {
	x, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()

	for {
		r, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+d.operatorAddress+"/ready", nil)
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
func (w *deployment) close() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()

	for _, d := range w.daemons {
		if d.cmd == nil {
			continue
		}

		_ = d.signal(syscall.SIGCONT) // what has ended needs no signal
		_ = d.signal(os.Kill)
		<-d.exited()
		d.storeProxy.Close()
		d.peerProxy.Close()
	}

	for _, t := range w.workers {
		t.proxy.Close()
	}

	for _, s := range w.servers {
		_ = s.Close()
	}

	w.portAllocator.Close()
}
