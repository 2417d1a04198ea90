package driver_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/agategap/agategap/standin/worker"
)

// Names of the small deployment that the cases run.
const (
	jobHost      = "plans.example"
	streamHost   = "notes.example"
	serviceName  = "vagtsprog"
	otherService = "tavlesprog"
	heartbeat    = 1200 * time.Millisecond // heartbeat_ms
	graceTime    = 8 * time.Second         // grace_s
	restartDelay = 300 * time.Millisecond
)

var zones = []string{"dk-hovedstad", "dk-sjaelland", "dk-fyn"}

// daemon is one process of the system under test.
type daemon struct {
	name               string
	zone               string
	front, ready, peer string
	settings, logFile  string
	mu                 sync.Mutex
	cmd                *exec.Cmd
	exited             chan struct{}
	startedAt          time.Time
}

// system is the deployment: daemons as processes, and the stand-ins of the platform's store and of the workers.
type system struct {
	rec      *recorder
	program  string
	dir      string
	store    *store
	storeURL string
	servers  []*http.Server
	daemons  []*daemon
	workers  []*workerState
	version  int
	held     []net.Listener
	mu       sync.Mutex // guards workers
	done     chan struct{}
}

type workerState struct {
	id, address, zone string
	service           string
	server            *http.Server
	gone              bool
	slots             int
	born              int64
	number            int64
	w                 *worker.Worker
}

func (s *system) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, v)
	go func() { _ = v.Serve(l) }()

	return l.Addr().String(), nil
}

// freeAddress returns an address with a free port of the loopback interface, below those that the operating system gives
// to outgoing channels, so that it is still free when a process starts again.
func (s *system) freeAddress() (string, error) {
	const first, ports, tries = 12000, 18000, 100

	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(ports)))
		if err != nil {
			continue
		}
		s.held = append(s.held, l) // kept until all are chosen, so that no port is chosen twice

		return l.Addr().String(), nil
	}

	return "", errors.New("no free port was found")
}

// newSystem starts the stand-ins. The daemons are started by start.
func newSystem(rec *recorder, daemonsPerZone, workersPerZone int, o worker.Options) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, program: "target/agategap", dir: dir, store: newStore(), done: make(chan struct{})}
	currentMu.Lock()
	current = s
	currentMu.Unlock()
	if s.storeURL, err = s.serve(s.store.handler()); err != nil {
		return s, err
	}

	for i := range workersPerZone * len(zones) {
		o.ID = fmt.Sprintf("i-%08x", 0x7f3a91c2+i)
		k := worker.New(o)
		if err := s.addWorker(k, o, serviceName, zones[i%len(zones)]); err != nil {
			return s, err
		}
	}
	s.register()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				s.register()
			case <-s.done:
				return
			}
		}
	}()

	for i := range daemonsPerZone * len(zones) {
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)]}
		for _, a := range []*string{&d.front, &d.ready, &d.peer} {
			if *a, err = s.freeAddress(); err != nil {
				return s, err
			}
		}
		s.daemons = append(s.daemons, d)
	}
	return s, nil
}

// release frees the ports that were chosen.
func (s *system) release() {
	for _, l := range s.held {
		_ = l.Close()
	}
	s.held = nil
}

// addWorker serves a worker and adds it to those that register themselves.
func (s *system) addWorker(k *worker.Worker, o worker.Options, service, zone string) error {
	a, err := s.serve(k.Handler())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, &workerState{
		id: o.ID, address: a, zone: zone, service: service, server: s.servers[len(s.servers)-1], slots: o.Slots, born: time.Now().UnixMilli(), w: k,
	})

	return nil
}

// lose ends a worker for good: it accepts no channels and writes no entries any more. The store removes its entry after
// three heartbeat intervals.
func (s *system) lose(k *workerState) {
	s.mu.Lock()
	k.gone = true
	s.mu.Unlock()
	_ = k.server.Close()
	s.rec.line("worker %s of service %s is gone", k.id, k.service)
	time.AfterFunc(3*heartbeat, func() {
		s.store.put("keyed.servers", k.id, nil)
		s.rec.line("store: the entry of worker %s is removed", k.id)
	})
}

// register writes the entries of all workers.
func (s *system) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.workers {
		if k.gone {
			continue
		}
		k.number++
		b, _ := json.Marshal(map[string]any{
			"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": k.slots, "state": "ready",
			"cold_left_ms": 0, "seq_no": k.number, "born": k.born,
		})
		s.store.put("keyed.servers", k.id, b)
	}
}

// configure writes the next version of the configuration: two batch routes and a streaming route. The second batch route
// goes to the service boards.
func (s *system) configure(boards string) {
	s.version += 3
	batch := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": jobHost, "path_prefix": prefix, "kind": "batch", "timeout_ms": 15000, "latency_slo_ms": 400,
			"priority": 2, "service": service, "max_attempts": 3, "sticky": true, "run_target_ms": 18000, "retention_s": 60,
		}
	}
	b, _ := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []any{batch("r-plan", "/plan/", serviceName), batch("r-board", "/board/", boards), map[string]any{
			"name": "r-note", "host": streamHost, "path_prefix": "/note/", "kind": "streaming", "timeout_ms": 5000, "latency_slo_ms": 300,
			"priority": 0, "service": serviceName, "max_attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 400,
		}},
		"services": []any{
			map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 240},
			map[string]any{"name": otherService, "health_path": "/health", "max_conns": 240},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.store.put("keyed.op", "config", b)
	s.rec.line("configuration version %d is written: /plan/ goes to %s, /board/ to %s", s.version, serviceName, boards)
}

// writeSettings writes the settings that deploy/node.tmpl gives a daemon.
func (s *system) writeSettings(d *daemon) error {
	var seeds []string
	for _, o := range s.daemons[:min(3, len(s.daemons))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.peer))
	}
	d.settings, d.logFile = filepath.Join(s.dir, d.name+".toml"), filepath.Join(s.dir, d.name+".log")

	return os.WriteFile(d.settings, fmt.Appendf(nil, `vm = %q
failure_domain = %q
region = "dk"
processor = 0.8
interface = "routed"
caller_address = %q
operator_address = %q
peer_address = %q
platform = %q
peers = [%s]
peer_keys = ["store %s"]
log_level = "info"
drain_wait = "2500ms"
drain_most = "8s"

[store]
partitions = 8
record_bytes = 262144
call_bytes = 2097152
keep_results = "120s"
`, d.name, d.zone, d.front, d.ready, d.peer, s.storeURL, strings.Join(seeds, ","), s.storeURL), 0o600)
}

// start starts the process of a daemon with the command of deploy/system.toml.
func (s *system) start(d *daemon) error {
	select {
	case <-s.done:
		return errors.New("the case has ended")
	default:
	}
	if d.settings == "" {
		if err := s.writeSettings(d); err != nil {
			return err
		}
	}
	f, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()

	c := exec.Command(s.program, "serve", "-settings", d.settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited, d.startedAt = c, ended, time.Now()
	d.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	s.rec.line("%s: process %d started", d.name, c.Process.Pid)

	return nil
}

func (s *system) startAll() error {
	s.release()
	for _, d := range s.daemons {
		if err := s.start(d); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := s.waitReady(d); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // stable_window_ms

	return nil
}

func isReady(d *daemon) bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()

	return a.StatusCode == http.StatusOK
}

func (s *system) waitReady(d *daemon) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if isReady(d) {
			s.rec.line("%s: ready", d.name)

			return nil
		}
	}

	return errors.New(d.name + " is not ready after 20 s")
}

func (s *system) signal(d *daemon, g os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(g)
		s.rec.line("%s: signal %v to process %d", d.name, g, d.cmd.Process.Pid)
	}
}

// restart stops a daemon as the platform does, with SIGTERM and after the grace time SIGKILL, and starts it again.
func (s *system) restart(d *daemon) error {
	s.signal(d, syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(graceTime):
		s.signal(d, os.Kill)
		<-d.exited
	}
	s.rec.line("%s: process has exited", d.name)
	time.Sleep(restartDelay)
	if err := s.start(d); err != nil {
		return err
	}

	return s.waitReady(d)
}

// close ends all processes that were started, and removes the temporary folder.
func (s *system) close() {
	close(s.done)
	for _, d := range s.daemons {
		d.mu.Lock()
		c, exited := d.cmd, d.exited
		d.mu.Unlock()
		if c == nil {
			continue
		}
		_ = c.Process.Kill()
		<-exited
	}
	for _, v := range s.servers {
		_ = v.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.rec.line("logs are kept")
		fmt.Println("logs:", s.dir)
	}
}
