// Package settings decodes and checks the settings file of one daemon, which is TOML. Settings are local to a VM; the
// configuration that all daemons share is in package config.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/tomlfile"
)

// Daemon has the settings of agategap serve. Its fields are exported for the codec.
type Daemon struct {
	VM              string   `toml:"vm"`               // name of the VM, unique
	FailureDomain   string   `toml:"failure_domain"`   // failure domain of the VM
	Region          string   `toml:"region"`           // region of the failure domain
	Processor       float64  `toml:"processor"`        // processor time of the VM, in cores
	CallerAddress   string   `toml:"caller_address"`   // listener for callers, IP:port
	OperatorAddress string   `toml:"operator_address"` // listener for operators, IP:port
	PeerAddress     string   `toml:"peer_address"`     // listener for other daemons, IP:port
	PeerAnnounce    string   `toml:"peer_announce"`    // address that other daemons connect to, IP:port; peer_address if empty
	Platform        string   `toml:"platform"`         // the platform's store, IP:port
	Peers           []string `toml:"peers"`            // addresses of some other daemons, through which it finds the rest; IP:port
	PeerKeys        []string `toml:"peer_keys"`        // shared keys; the first one signs, all are accepted
	LogLevel        string   `toml:"log_level"`        // debug, info, warn or error
	Policy          string   `toml:"policy"`           // round_robin, least_loaded, power_of_two or owner

	DrainWait tomlfile.Duration `toml:"drain_wait"` // time during which the daemon is not ready but still serves, before it closes the listener
	DrainMost tomlfile.Duration `toml:"drain_most"` // bound on the whole shutdown

	LogRetention tomlfile.Duration `toml:"log_retention"` // time for which the log keeps a record; snapshots are renewed well before
	ReadTimeout  tomlfile.Duration `toml:"read_timeout"`  // bound on reading a caller's request
	WriteTimeout tomlfile.Duration `toml:"write_timeout"` // bound on each write to a caller, not on the whole response

	Interface string `toml:"interface"` // openai, or routed for requests that are routed by host and path
	Store     Store  `toml:"store"`     // bounds of the platform's log store; only for the interface routed

	CallerTLS TLS `toml:"caller_tls"` // TLS of the listener for callers
	PeerTLS   TLS `toml:"peer_tls"`   // TLS between daemons, on both sides
}

// Store has the bounds of the platform's log store, and the retention of results.
type Store struct {
	Partitions  int               `toml:"partitions"`   // partitions of the log stream of batch jobs; cannot be changed while it has jobs
	RecordBytes int               `toml:"record_bytes"` // largest record
	CallBytes   int               `toml:"call_bytes"`   // largest append
	KeepResults tomlfile.Duration `toml:"keep_results"` // time after its submission for which the results of a finished job are readable
}

// TLS has the paths of the certificate files of one listener. Without a certificate, the listener uses no TLS. Changed
// files are loaded without a restart.
type TLS struct {
	Certificate string `toml:"certificate"` // PEM file with the certificate chain
	Key         string `toml:"key"`         // PEM file with the private key
	Authority   string `toml:"authority"`   // PEM file with the authorities that sign the certificates of clients or peers; required between daemons
}

// Enabled reports whether the listener uses TLS, which it does if it has a certificate.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// MinKeyBytes is the minimum length of a peer key in bytes.
const MinKeyBytes = 16

// ParseDaemon decodes the content of a settings file, sets the defaults and checks the values. The error is a
// *finding.List; its findings name the file.
func ParseDaemon(file string, b []byte) (Daemon, error) {
	var d Daemon

	var l finding.List

	x := tomlfile.Decode(file, b, &d, &l)
	if x.IsWellFormed() {
		d.setDefaults(x)
		d.check(x, &l)
	}

	return d, l.Err()
}

// setDefaults sets the settings whose key is absent. An explicit duration of 0 stays 0.
func (d *Daemon) setDefaults(x tomlfile.Index) {
	if !x.Has("log_level") {
		d.LogLevel = "info"
	}

	if !x.Has("policy") {
		d.Policy = "owner"
	}

	if !x.Has("interface") {
		d.Interface = InterfaceOpenAI
	}

	if !x.Has("processor") {
		d.Processor = defaultProcessorCores
	}

	d.Store.setDefaults(x)

	for _, v := range []struct {
		key          string
		value        *tomlfile.Duration
		defaultValue time.Duration
	}{
		{"drain_wait", &d.DrainWait, defaultDrainWait},
		{"drain_most", &d.DrainMost, defaultDrainTimeout},
		{"log_retention", &d.LogRetention, defaultLogRetention},
		{"store.keep_results", &d.Store.KeepResults, defaultKeepResults},
		{"read_timeout", &d.ReadTimeout, DefaultReadTimeout},
		{"write_timeout", &d.WriteTimeout, DefaultWriteTimeout},
	} {
		if !x.Has(v.key) {
			*v.value = tomlfile.NewDuration(v.defaultValue)
		}
	}
}

func (d *Daemon) check(x tomlfile.Index, l *finding.List) {
	checkRequired(x, l, "vm", d.VM)
	checkRequired(x, l, "failure_domain", d.FailureDomain)

	if d.Processor <= 0 || d.Processor > maxProcessorCores {
		x.Addf(l, "processor", "%g cores are not between 0 and %d", d.Processor, maxProcessorCores)
	}

	seen := map[string]string{}
	for _, a := range []struct{ key, value string }{
		{"caller_address", d.CallerAddress},
		{"operator_address", d.OperatorAddress},
		{"peer_address", d.PeerAddress},
	} {
		checkAddress(x, l, a.key, a.value)

		if o, ok := seen[a.value]; ok && a.value != "" {
			x.Addf(l, a.key, "%q is also the %s", a.value, o)
		}

		seen[a.value] = a.key
	}

	checkAddress(x, l, "platform", d.Platform)

	names := map[string]bool{}

	for i, p := range d.Peers {
		checkAddress(x, l, fmt.Sprintf("peers[%d]", i), p)

		if names[p] {
			x.Addf(l, fmt.Sprintf("peers[%d]", i), "%q occurs twice", p)
		}

		names[p] = true
	}

	if d.PeerAnnounce != "" {
		checkAddress(x, l, "peer_announce", d.PeerAnnounce)
	}

	if a, err := netip.ParseAddrPort(d.PeerAddress); err == nil && len(d.PeerKeys) == 0 && !a.Addr().IsLoopback() {
		x.Addf(l, "peer_keys", "is required, as %s is reachable from other machines", d.PeerAddress)
	}

	for i, k := range d.PeerKeys {
		if len(k) < MinKeyBytes {
			x.Addf(l, fmt.Sprintf("peer_keys[%d]", i), "key %d has %d bytes; at least %d are required", i, len(k), MinKeyBytes)
		}
	}

	checkOneOf(x, l, "log_level", d.LogLevel, "debug", "info", "warn", "error")
	checkOneOf(x, l, "policy", d.Policy, "round_robin", "least_loaded", "power_of_two", "owner")
	checkOneOf(x, l, "interface", d.Interface, InterfaceOpenAI, InterfaceRouted)
	d.Store.check(x, l)
	d.DrainWait.Check(x, l, "drain_wait", 0, maxDrainTime)
	d.LogRetention.Check(x, l, "log_retention", minLogRetention, maxLogRetention)
	d.DrainMost.Check(x, l, "drain_most", 0, maxDrainTime)
	d.ReadTimeout.Check(x, l, "read_timeout", minTimeout, maxTimeout)
	d.WriteTimeout.Check(x, l, "write_timeout", minTimeout, maxTimeout)
	d.CallerTLS.check(x, l, "caller_tls")
	d.PeerTLS.check(x, l, "peer_tls")

	if d.PeerTLS.Enabled() && d.PeerTLS.Authority == "" {
		x.Addf(l, "peer_tls.authority", "is required, as daemons check each other's certificates")
	}
}

func (t TLS) check(x tomlfile.Index, l *finding.List, key string) {
	if (t.Certificate == "") != (t.Key == "") {
		x.Addf(l, key, "certificate and key are set together or not at all")
	}

	if t.Authority != "" && t.Certificate == "" {
		x.Addf(l, key+".authority", "has no effect without a certificate")
	}
}

func checkRequired(x tomlfile.Index, l *finding.List, key, value string) {
	if value == "" {
		x.Addf(l, key, "is required")
	}
}

func checkAddress(x tomlfile.Index, l *finding.List, key, value string) {
	if value == "" {
		x.Addf(l, key, "is required")

		return
	}

	if _, err := netip.ParseAddrPort(value); err != nil {
		x.Addf(l, key, "%q is not an IP address with a port, such as 10.0.0.7:8080", value)
	}
}

func checkOneOf(x tomlfile.Index, l *finding.List, key, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}

	x.Addf(l, key, "%q is not one of %s", value, fmt.Sprint(allowed))
}
