package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/agategap/agategap/standin/proxy"
	"github.com/agategap/agategap/standin/store"
)

// programPath is the path of the agategap executable, which TestMain builds. Tests use builtProgram instead.
var programPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the executable in a temporary directory and runs the tests. It returns the exit code.
func buildAndRun(m *testing.M) int {
	d, err := os.MkdirTemp("", "agategap")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}
	defer os.RemoveAll(d)

	programPath = filepath.Join(d, "agategap")
	if b, err := exec.Command("go", "build", "-o", programPath, "..").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%s", err, b)

		return 1
	}

	return m.Run()
}

// builtProgram returns the path of the built executable. It calls stat on the sources of the executable, so that go
// test does not return a cached result after a change: the cache depends on the files that a test has opened or
// checked, and the tests run the executable as a process. Importing its packages is not enough, as the linker leaves
// out code that the tests do not call.
func builtProgram(t *testing.T) string {
	t.Helper()

	if err := statSources(); err != nil {
		t.Fatal(err)
	}

	return programPath
}

var statSources = sync.OnceValue(func() error {
	return filepath.WalkDir("..", func(p string, e os.DirEntry, err error) error {
		if err != nil {
			return err
		}

		if e.IsDir() && strings.HasPrefix(e.Name(), ".") && e.Name() != ".." {
			return filepath.SkipDir
		}

		if strings.HasSuffix(p, ".go") && !strings.HasSuffix(p, "_test.go") || strings.HasSuffix(p, "/go.mod") {
			_, err = os.Stat(p)
		}

		return err
	})
})

const (
	callerKey = "integration-key"
	otherKey  = "other-key"
	peerKey   = "0123456789abcdef"
)

var domains = []string{"kv-shah-alam", "kv-petaling", "kv-cheras"}

// process is a running process of the built executable.
type process struct {
	cmd     *exec.Cmd
	address string        // address that the process printed; empty if none was expected
	exited  chan struct{} // closed when the process has exited

	mu    sync.Mutex
	lines []string // the first maxOutputLines of the output
}

// startProcess starts the executable with args and kills the process at the end of the test. Unless marker is empty, it
// waits for the first line of the output, which is marker followed by the address of the process.
func startProcess(t *testing.T, marker string, args ...string) *process {
	t.Helper()

	c := exec.Command(builtProgram(t), args...)
	c.Stderr = os.Stderr

	o, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}

	if err := c.Start(); err != nil {
		t.Fatal(err)
	}

	p := &process{cmd: c, exited: make(chan struct{})}
	lines := make(chan string, 16)

	go func() {
		for s := bufio.NewScanner(o); s.Scan(); {
			p.keepLine(s.Text())

			select {
			case lines <- s.Text():
			default:
			}
		}

		_ = c.Wait()
		close(p.exited)
	}()

	t.Cleanup(p.kill)

	if marker == "" {
		return p
	}

	select {
	case l := <-lines:
		p.address = strings.TrimPrefix(l, marker)
	case <-time.After(20 * time.Second):
		t.Fatalf("%v did not start", args)
	}

	return p
}

// kill kills the process, also if it is paused, and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// daemonProcess is a daemon with its settings and the proxy through which it reaches the platform. process is nil
// before the first start.
type daemonProcess struct {
	*process
	vm, domain, callerAddress, operatorAddress, peerAddress, settingsPath string
	platformProxy                                                         *proxy.Proxy
}

// deployment is a small deployment whose daemons and stand-ins run as processes.
type deployment struct {
	t             *testing.T
	platform      *process
	engines       []*process     // one in each failure domain
	engineProxies []*proxy.Proxy // one in front of each engine
	services      []*process     // one plain service in each failure domain
	daemons       []*daemonProcess
	logLevel      string                        // of the daemons with the routed interface
	registrations map[string]store.Registration // by target ID; writeRegistrations writes them to the platform
	dir           string                        // for settings and configurations
}

type deploymentOptions struct {
	daemonsPerDomain int
	extraConfig      string   // appended to the configuration
	engineFlags      []string // additional flags of the engines
	serviceFlags     []string // additional flags of the plain services
}

const configTemplate = `
partitions = 8

[bounds]
record_wait = "1s"

[batch]
shard_items = 25
max_attempts = 3
lease = "2s"
pause_bound = "1s"
cutoff_run_bound = "3s"
retain = "1h"

[[accounts]]
name = "lintas"
key_hashes = ["%s"]

[[accounts]]
name = "other"
key_hashes = ["%s"]

[[services]]
name = "signwriter"
kind = "engine"
idempotent = true
deadline = "20s"
idle_bound = "500ms"
max_attempts = 3

[[services]]
name = "billing"
kind = "plain"
deadline = "20s"
idle_bound = "1s"
max_attempts = 1
lookup = true
`

// newDeployment starts a platform, an engine and a plain service in each failure domain, and daemons, and waits until
// the daemons are ready. An engine is registered with the address of its proxy.
func newDeployment(t *testing.T, c deploymentOptions) *deployment {
	t.Helper()

	s := &deployment{t: t, dir: t.TempDir(), registrations: map[string]store.Registration{}}
	s.platform = startProcess(t, "listening on ", "standin", "platform", "-address", "127.0.0.1:0")

	for _, d := range domains {
		e := startProcess(t, "listening on ", append([]string{"standin", "engine", "-address", "127.0.0.1:0", "-models", "signwriter"}, c.engineFlags...)...)
		s.engines = append(s.engines, e)

		p := s.newProxy(e.address)
		s.engineProxies = append(s.engineProxies, p)
		s.addRegistration(d+"-worker", p.Address(), d, "signwriter")

		b := startProcess(t, "listening on ", append([]string{"standin", "service", "-address", "127.0.0.1:0"}, c.serviceFlags...)...)
		s.services = append(s.services, b)
		s.addRegistration(d+"-billing", b.address, d, "billing")
	}

	for i := range c.daemonsPerDomain * len(domains) {
		s.daemons = append(s.daemons, s.newDaemon(i, domains[i%len(domains)]))
	}

	s.writeRegistrations()

	if n, out := s.publish(0, configText()+c.extraConfig); n != 0 {
		t.Fatal(out)
	}

	for _, n := range s.daemons {
		s.startDaemon(n)
	}

	for _, n := range s.daemons {
		s.waitReady(n)
	}

	return s
}

func hashKey(key string) string {
	h := sha256.Sum256([]byte(key))

	return hex.EncodeToString(h[:])
}

func (s *deployment) newProxy(target string) *proxy.Proxy {
	s.t.Helper()

	p, err := proxy.New(target)
	if err != nil {
		s.t.Fatal(err)
	}

	s.t.Cleanup(p.Close)

	return p
}

// addRegistration adds the registration of a target without writing it to the platform.
func (s *deployment) addRegistration(id, address, domain, service string) {
	s.registrations[id] = store.Registration{Service: service, Address: address, Zone: domain, Slots: 16, State: store.Ready}
}

// writeRegistrations replaces the registrations of all targets at the platform.
func (s *deployment) writeRegistrations() {
	s.t.Helper()
	s.putControl(s.platform.address, "/control/workers", s.registrations)
}

// putControl sends a value in JSON to the control interface of a stand-in.
func (s *deployment) putControl(address, path string, v any) {
	s.t.Helper()

	b, _ := json.Marshal(v)

	r, _ := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(b))

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer a.Body.Close()

	if a.StatusCode != http.StatusOK {
		s.t.Fatalf("%s: status %d", path, a.StatusCode)
	}
}

// setStoreFaults replaces the faults of the platform's store.
func (s *deployment) setStoreFaults(v any) { s.putControl(s.platform.address, "/control/faults", v) }

// newDaemon allocates the addresses of daemon i and writes its settings.
func (s *deployment) newDaemon(i int, domain string) *daemonProcess {
	s.t.Helper()

	a := freeAddresses(s.t, 3)
	n := &daemonProcess{vm: fmt.Sprintf("%s-entry-%d", domain, i), domain: domain, callerAddress: a[0], operatorAddress: a[1], peerAddress: a[2], platformProxy: s.newProxy(s.platform.address)}
	n.settingsPath = filepath.Join(s.dir, n.vm+".toml")

	text := fmt.Sprintf("vm = %q\nfailure_domain = %q\nregion = \"klang-valley\"\ncaller_address = %q\noperator_address = %q\npeer_address = %q\n"+
		"platform = %q\npeer_keys = [%q]\nlog_level = \"error\"\ndrain_wait = \"300ms\"\ndrain_most = \"10s\"\n",
		n.vm, domain, n.callerAddress, n.operatorAddress, n.peerAddress, n.platformProxy.Address(), peerKey)
	if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}

	return n
}

func (s *deployment) startDaemon(n *daemonProcess) {
	s.t.Helper()
	n.process = startProcess(s.t, "", "serve", "-settings", n.settingsPath)
}

// waitReady waits until a daemon reports that it is ready.
func (s *deployment) waitReady(n *daemonProcess) {
	s.t.Helper()

	s.eventually(20*time.Second, n.vm+" is ready", func() bool {
		a, err := http.Get("http://" + n.operatorAddress + "/ready")
		if err != nil {
			return false
		}
		defer a.Body.Close()

		return a.StatusCode == http.StatusOK
	})
}

// eventually polls a condition until it holds, and fails the test after the timeout. expected describes the condition.
func (s *deployment) eventually(timeout time.Duration, expected string, holds func() bool) {
	s.t.Helper()

	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}

		if time.Now().After(deadline) {
			s.t.Fatalf("not within %s: %s", timeout, expected)
		}
	}
}

// publish publishes a configuration that is based on a version with the publish command. It returns the exit code and
// the output of the command.
func (s *deployment) publish(basedOn int64, text string) (int, string) {
	s.t.Helper()

	f := filepath.Join(s.dir, "config.toml")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}

	b, err := exec.Command(builtProgram(s.t), "publish", "-platform", s.platform.address, "-based-on", fmt.Sprint(basedOn), "-author", "test", f).CombinedOutput()

	var x *exec.ExitError

	switch {
	case err == nil:
		return 0, string(b)
	case errors.As(err, &x):
		return x.ExitCode(), string(b)
	default:
		s.t.Fatal(err)

		return 0, ""
	}
}

// response is a response as a caller received it.
type response struct {
	status int
	body   string
	err    error
}

// outcome returns the outcome that an error response states, or "" if it states none.
func (a response) outcome() string {
	var v struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}

	_ = json.Unmarshal([]byte(a.body), &v)

	return v.Error.Outcome
}

// call sends a request with the bearer key of the default account, and with an idempotency key unless key is empty.
func (s *deployment) call(address, method, path, key, body string) response {
	return s.callAs(callerKey, address, method, path, key, body)
}

// callAs sends a request with the bearer key of an account, and with an idempotency key unless key is empty.
func (s *deployment) callAs(bearer, address, method, path, key, body string) response {
	x, stop := context.WithTimeout(context.Background(), 25*time.Second)
	defer stop()

	r, _ := http.NewRequestWithContext(x, method, "http://"+address+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+bearer)

	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer a.Body.Close()

	b, err := io.ReadAll(a.Body)

	return response{status: a.StatusCode, body: string(b), err: err}
}

// sendChat requests a streamed chat completion with a number of tokens.
func (s *deployment) sendChat(address string, tokens int) response {
	return s.call(address, http.MethodPost, "/v1/chat/completions", "",
		fmt.Sprintf(`{"model":"signwriter","stream":true,"messages":[{"role":"user","content":"tokens=%d"}]}`, tokens))
}

// isComplete reports whether a streamed response has all tokens, each once and in order, and the end marker.
func (a response) isComplete(tokens int) bool {
	n := 0

	for _, l := range strings.Split(a.body, "\n") {
		var v struct {
			Index *int `json:"token_index"`
		}

		d, ok := strings.CutPrefix(l, "data: {")
		if !ok {
			continue
		}

		if json.Unmarshal([]byte("{"+d), &v) != nil || v.Index == nil || *v.Index != n {
			return false
		}

		n++
	}

	return a.err == nil && n == tokens && strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

// postNotice sends a call that may run only once to the plain service. key is its idempotency key.
func (s *deployment) postNotice(address, key, body string) response {
	return s.call(address, http.MethodPost, "/services/billing/notices", key, body)
}

// runsByBody returns how often each request body ran at all plain services together.
func (s *deployment) runsByBody() map[string]int {
	s.t.Helper()

	n := map[string]int{}

	for _, b := range s.services {
		var v struct {
			Bodies map[string]int `json:"bodies"`
		}

		s.getJSON(b.address, "/control/counts", &v)

		for k, c := range v.Bodies {
			n[k] += c
		}
	}

	return n
}

func (s *deployment) getJSON(address, path string, v any) {
	s.t.Helper()

	a, err := http.Get("http://" + address + path)
	if err != nil {
		s.t.Fatal(err)
	}
	defer a.Body.Close()

	if err := json.NewDecoder(a.Body).Decode(v); err != nil {
		s.t.Fatal(err)
	}
}

// configText returns the configuration that newDeployment publishes, without extraConfig.
func configText() string {
	return fmt.Sprintf(configTemplate, hashKey(callerKey), hashKey(otherKey))
}

// configTextWithRecordWait returns the configuration with another record_wait, the bound on the wait for a record in
// the log.
func configTextWithRecordWait(wait string) string {
	return strings.Replace(configText(), `record_wait = "1s"`, fmt.Sprintf("record_wait = %q", wait), 1)
}
