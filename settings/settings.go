// Package settings has the settings of one process, in TOML.
package settings

import (
	"fmt"
	"net/netip"

	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/tomlfile"
)

// Daemon is the settings record of agategap serve. A codec fills the fields.
type Daemon struct {
	VM              string   `toml:"vm"`               // name of the VM, unique
	FailureDomain   string   `toml:"failure_domain"`   // failure domain of the VM
	Region          string   `toml:"region"`           // region of the failure domain
	CallerAddress   string   `toml:"caller_address"`   // listener for callers, IP:port
	OperatorAddress string   `toml:"operator_address"` // listener for operators, IP:port
	PeerAddress     string   `toml:"peer_address"`     // listener for other daemons, IP:port
	Platform        string   `toml:"platform"`         // the platform's service, IP:port
	Peers           []string `toml:"peers"`            // addresses of some other daemons, IP:port
	PeerKeys        []string `toml:"peer_keys"`        // shared keys; the first signs, all are accepted
	LogLevel        string   `toml:"log_level"`        // debug, info, warn or error
	Policy          string   `toml:"policy"`           // round_robin, least_loaded, power_of_two or owner

	DrainWait tomlfile.Duration `toml:"drain_wait"` // time between not ready and closing the listener
	DrainMost tomlfile.Duration `toml:"drain_most"` // bound on the whole shutdown

	LogRetention tomlfile.Duration `toml:"log_retention"` // how long the log keeps a record; snapshots are renewed well before
}

// MinKeyBytes is the least length of a peer key.
const MinKeyBytes = 16

// ParseDaemon decodes and checks settings. The error is a *finding.List.
func ParseDaemon(file string, b []byte) (Daemon, error) {
	var d Daemon

	var l finding.List

	x := tomlfile.Decode(file, b, &d, &l)
	if l.Err() == nil {
		d.setDefaults()
		d.check(x, &l)
	}

	return d, l.Err()
}

func (d *Daemon) setDefaults() {
	if d.LogLevel == "" {
		d.LogLevel = "info"
	}

	if d.Policy == "" {
		d.Policy = "owner"
	}

	if d.DrainWait == (tomlfile.Duration{}) {
		d.DrainWait = tomlfile.NewDuration(defaultDrainWait)
	}

	if d.LogRetention == (tomlfile.Duration{}) {
		d.LogRetention = tomlfile.NewDuration(defaultLogRetention)
	}

	if d.DrainMost == (tomlfile.Duration{}) {
		d.DrainMost = tomlfile.NewDuration(defaultDrainMost)
	}
}

func (d *Daemon) check(x tomlfile.Index, l *finding.List) {
	required(x, l, "vm", d.VM)
	required(x, l, "failure_domain", d.FailureDomain)

	seen := map[string]string{}
	for _, a := range []struct{ key, value string }{
		{"caller_address", d.CallerAddress},
		{"operator_address", d.OperatorAddress},
		{"peer_address", d.PeerAddress},
	} {
		checkAddress(x, l, a.key, a.value)

		if o, ok := seen[a.value]; ok && a.value != "" {
			x.Addf(l, a.key, "%q is the %s too", a.value, o)
		}

		seen[a.value] = a.key
	}

	checkAddress(x, l, "platform", d.Platform)

	for _, p := range d.Peers {
		checkAddress(x, l, "peers", p)
	}

	if len(d.PeerKeys) == 0 {
		x.Addf(l, "peer_keys", "at least one is required")
	}

	for i, k := range d.PeerKeys {
		if len(k) < MinKeyBytes {
			x.Addf(l, "peer_keys", "key %d has %d bytes; at least %d are required", i, len(k), MinKeyBytes)
		}
	}

	oneOf(x, l, "log_level", d.LogLevel, "debug", "info", "warn", "error")
	oneOf(x, l, "policy", d.Policy, "round_robin", "least_loaded", "power_of_two", "owner")
	d.DrainWait.Check(x, l, "drain_wait", 0, mostDrain)
	d.LogRetention.Check(x, l, "log_retention", leastLogRetention, mostLogRetention)
	d.DrainMost.Check(x, l, "drain_most", 0, mostDrain)
}

func required(x tomlfile.Index, l *finding.List, key, value string) {
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
		x.Addf(l, key, "%q is not an IP number with a port, such as 10.0.0.7:8080", value)
	}
}

func oneOf(x tomlfile.Index, l *finding.List, key, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}

	x.Addf(l, key, "%q is none of %s", value, fmt.Sprint(allowed))
}
