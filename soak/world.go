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
	store                      *proxy.Proxy

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
	w := &world{program: o.Program, dir: o.Dir, store: store.New(o.Seed)}

	a, err := w.serve(w.store.Handler())
	if err != nil {
		return w, err
	}

	for i := range o.Workers {
		if err := w.addTarget(i); err != nil {
			return w, err
		}
	}

	w.configure()

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
	w.announce(i)

	return nil
}

// announce writes the entry of a worker.
func (w *world) announce(i int) {
	t := w.targets[i]

	t.mu.Lock()
	defer t.mu.Unlock()

	w.store.Put("keyed.servers", t.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"born":1,"seq_no":%d}`,
		service, t.proxy.Address(), domain(i), slots, t.state, time.Now().UnixMilli()))
}

func (w *world) setState(i int, state string) {
	t := w.targets[i]

	t.mu.Lock()
	t.state = state
	t.mu.Unlock()

	w.announce(i)
}

// renew writes the entries of the workers again and again, as they do.
func (w *world) renew(ctx context.Context) {
	for {
		select {
		case <-time.After(renewEvery):
		case <-ctx.Done():
			return
		}

		for i := range w.targets {
			w.announce(i)
		}
	}
}

// configure publishes the next version, which has one more route than the one before.
func (w *world) configure() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.version++

	routes := ""
	for v := 1; v <= w.version; v++ {
		routes += fmt.Sprintf(`{"name":"v%d","host":%q,"path_prefix":"/v%d/","kind":"streaming","timeout_ms":5000,"latency_slo_ms":600,"gap_aim_ms":600,"max_attempts":1,"service":%q},`, v, host, v, service)
	}

	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s
		{"name":"once","host":%q,"path_prefix":"/once/","kind":"streaming","timeout_ms":5000,"latency_slo_ms":600,"gap_aim_ms":600,"max_attempts":2,"service":%q},
		{"name":"again","host":%q,"path_prefix":"/again/","kind":"streaming","timeout_ms":5000,"latency_slo_ms":600,"gap_aim_ms":600,"max_attempts":3,"resumable":true,"service":%q},
		{"name":"batch","host":%q,"path_prefix":"/batch/","kind":"batch","timeout_ms":5000,"latency_slo_ms":600,"max_attempts":3,"service":%q,"run_target_ms":18000,"retention_s":120,"priority":2}],
		"limits":{"max_body_bytes":4194304}}`, w.version, routes, host, service, host, service, host, service))

	return w.version
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

	d := &daemon{vm: fmt.Sprint("vm-", i), caller: a[0], operator: a[1], peer: a[2], store: p}
	d.settings = filepath.Join(w.dir, d.vm+".toml")

	return d, os.WriteFile(d.settings, fmt.Appendf(nil, "vm = %q\nfailure_domain = %q\ninterface = \"routed\"\n"+
		"caller_address = %q\noperator_address = %q\npeer_address = %q\nplatform = %q\npeer_keys = [\"soak on loopback only\"]\n"+
		"drain_wait = \"1s\"\ndrain_most = %q\n", d.vm, domain(i), d.caller, d.operator, d.peer, p.Address(), grace), 0o600)
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
	}

	for _, t := range w.targets {
		t.proxy.Close()
	}

	for _, s := range w.servers {
		_ = s.Close()
	}

	w.ports.Close()
}
