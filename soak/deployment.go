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
	host          = "soak.example"
	service       = "soak"
	domainCount   = 3
	eventCount    = 30
	eventInterval = 10 * time.Millisecond
	workerSlots   = 6
	workerQueue   = 4
	// latencyObjective is the objective for the time to the first event and for the time between two events.
	latencyObjective = 600 * time.Millisecond
	// A job is due jobRunTarget after its submission. Its items may be given up after jobRetention.
	jobRunTarget = 18 * time.Second
	jobRetention = 2 * time.Minute
	// readyTimeout bounds the start of a daemon, which takes a few hundred milliseconds.
	readyTimeout = 30 * time.Second
	// restartDelay is the time between the exit of a daemon's process, after a shutdown or a kill, and its next start.
	restartDelay = 200 * time.Millisecond
	// shutdownTimeout bounds the shutdown of a daemon. Then the soak kills it, as the platform does.
	shutdownTimeout = 8 * time.Second
	// registrationInterval is the time between two writes of a worker's registration.
	registrationInterval = time.Second
	// registrationTimeout is the time without a write after which the platform deletes a worker's registration.
	registrationTimeout = 3 * registrationInterval
)

// daemon is one daemon of the deployment with its addresses and proxies. It runs as one process at a time. mu guards
// the fields below it.
type daemon struct {
	vm, callerAddress, operatorAddress, peerAddress string
	settingsPath                                    string
	storeProxy                                      *proxy.Proxy // in front of the store
	peerProxy                                       *proxy.Proxy // in front of the daemon's listener for peers

	mu     sync.Mutex
	cmd    *exec.Cmd     // latest process; nil before the first start
	exit   chan struct{} // closed when the latest process has exited
	starts int           // number of starts so far
}

// proxiedWorker is a stand-in for a worker with a proxy in front of it.
type proxiedWorker struct {
	id     string
	worker *worker.Worker
	proxy  *proxy.Proxy

	mu       sync.Mutex
	state    string    // in the worker's registration
	born     int64     // start of the worker's process after its latest crash, in Unix milliseconds; 0 if it never crashed
	downFrom time.Time // crash of the worker; zero while it runs
}

// deployment is the system under test: stand-ins for the store and the workers in this process, and daemons as separate
// processes.
type deployment struct {
	program       string
	dir           string
	store         *store.Store
	portAllocator PortAllocator
	servers       []*http.Server
	workers       []*proxiedWorker
	daemons       []*daemon

	mu      sync.Mutex
	version int  // of the published configuration
	stopped bool // no daemon is started any more

	prompts promptPlan
	onCrash func(worker int) // called when a worker crashes; set before there is load
}

// serve serves a stand-in on a loopback address and returns the address. close ends it.
func (w *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listening does not block
	if err != nil {
		return "", err
	}

	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)

	go func() { _ = s.Serve(l) }() // returns when close closes the server

	return l.Addr().String(), nil
}

// newDeployment builds a deployment, starts its daemons and waits until they are ready. The caller closes the result,
// also after an error.
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

// domain returns the failure domain of daemon or worker i.
func domain(i int) string { return fmt.Sprint("domain-", i%domainCount) }

// addWorker starts worker i with a proxy in front of it, and registers it with the address of the proxy.
func (w *deployment) addWorker(i int) error {
	t := &proxiedWorker{id: fmt.Sprint("worker-", i), state: "ready"}
	t.worker = worker.New(worker.Options{
		ID: t.id, Slots: workerSlots, Queue: workerQueue, Events: eventCount, Gap: eventInterval,
		ColdTime: coldTime, ColdGap: coldGap, OnCrash: func() { w.onCrash(i) },
	})
	t.worker.SetFaults(worker.Faults{Deadly: deadlyPart})

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

// writeRegistration writes the registration of worker i to the store. A worker that is down writes none, and the platform
// deletes its registration after a time.
func (w *deployment) writeRegistration(i int) error {
	t := w.workers[i]

	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.downFrom.IsZero() {
		if time.Since(t.downFrom) > registrationTimeout {
			w.store.DeleteRegistration(t.id)
		}

		return nil
	}

	return w.store.PutRegistration(t.id, store.Registration{Service: service, Address: t.proxy.Address(), Zone: domain(i), Slots: workerSlots, State: t.state, Born: t.born})
}

// setWorkerState changes the state of worker i in its registration and writes the registration.
func (w *deployment) setWorkerState(i int, state string) error {
	t := w.workers[i]

	t.mu.Lock()
	t.state = state
	t.mu.Unlock()

	return w.writeRegistration(i)
}

// renewRegistrations rewrites the registrations of the workers every registrationInterval, as workers do. It ignores
// errors, as a registration that was written once can always be encoded.
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

// publishConfig publishes the next version of the configuration. Version N has the routes v1 to vN besides the others,
// so that a request for route vN shows whether a daemon uses version N or a newer one.
func (w *deployment) publishConfig() error {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.version++

	base := store.Route{
		Host: host, Kind: "streaming", Service: service, TimeoutMS: requestTimeout.Milliseconds(),
		ObjectiveMS: latencyObjective.Milliseconds(), PauseMS: latencyObjective.Milliseconds(), Attempts: 2, //nolint:mnd // without effect unless requests may be repeated
	}

	var l []store.Route

	add := func(name string, modify func(r *store.Route)) {
		r := base
		r.Name, r.Prefix = name, "/"+name+"/"
		modify(&r)
		l = append(l, r)
	}

	for v := 1; v <= w.version; v++ {
		add(fmt.Sprint("v", v), func(*store.Route) {})
	}

	add("once", func(*store.Route) {})
	add("again", func(r *store.Route) { r.Resumable, r.Attempts = true, 3 }) //nolint:mnd // a stream may go on at another worker
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

// newDaemon allocates the addresses of daemon i and writes its settings. The daemon reaches the store at storeAddress
// through a proxy, and announces the address of another proxy to its peers.
func (w *deployment) newDaemon(i int, storeAddress string) (*daemon, error) {
	a, err := w.portAllocator.Allocate(3) //nolint:mnd // for callers, operators and peers
	if err != nil {
		return nil, err
	}

	p, err := proxy.New(storeAddress)
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

// startDaemon starts the process of a daemon. Its output is appended to the daemon's log file.
func (w *deployment) startDaemon(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()

	f, err := os.OpenFile(filepath.Join(w.dir, d.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the process has a descriptor of its own

	c := exec.Command(w.program, "serve", "-settings", d.settingsPath) //nolint:gosec,noctx // the program under test, which close kills
	c.Stdout, c.Stderr = f, f

	if err := c.Start(); err != nil {
		return err
	}

	ended := make(chan struct{})
	d.cmd, d.exit = c, ended
	d.starts++

	go func() {
		_ = c.Wait() // a killed process returns an error
		close(ended)
	}()

	return nil
}

// restartDaemon waits until the process of a daemon has exited, and then for restartDelay, and starts it again, unless
// the deployment is closed.
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

// exited returns a channel that is closed when the latest process of the daemon has exited.
func (d *daemon) exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.exit
}

// signal sends a signal to the process of the daemon. It does nothing if the process has exited, so that no later
// process with the same ID gets the signal.
func (d *daemon) signal(s os.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()

	err := d.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}

	return err
}

// startCount returns how often the daemon was started. While it does not change, the daemon is the same process.
func (d *daemon) startCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.starts
}

// waitReady polls the daemon until it reports that it is ready, for up to readyTimeout.
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
		case <-time.After(50 * time.Millisecond): //nolint:mnd // interval of polling
		case <-x.Done():
			return fmt.Errorf("%s is not ready: %w", d.vm, x.Err())
		}
	}
}

// close kills the daemons and stops the proxies and stand-ins. It waits until the daemons have exited.
func (w *deployment) close() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()

	for _, d := range w.daemons {
		if d.cmd == nil {
			continue
		}

		_ = d.signal(syscall.SIGCONT) // in case that it is paused; an error means that the process has exited
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
