package daemon

import (
	mrand "math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/agategap/agategap/balance"
	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/operator"
)

// configBounds reads the bounds of the configuration in force for the filters, the pool and the slot controller.
type configBounds struct {
	config *configs.Controller
}

// SlowShare returns the share of a service's targets that may be ejected as slow.
func (b configBounds) SlowShare() float64 { return b.config.InForce().Document().Bounds.SlowShare }

// SpillShare returns the share of a service's requests that other failure domains may serve.
func (b configBounds) SpillShare() float64 { return b.config.InForce().Document().Bounds.SpillShare }

// RetryShare returns the greatest share of retries and hedges in the requests.
func (b configBounds) RetryShare() float64 { return b.config.InForce().Document().Bounds.RetryShare }

// RecordWait returns the longest time that work waits for the log before it is refused.
func (b configBounds) RecordWait() time.Duration {
	return b.config.InForce().Document().Bounds.RecordWait.Value()
}

// LeavingBound returns the time after which a leaving target gets no new requests.
func (b configBounds) LeavingBound() time.Duration {
	return b.config.InForce().Document().Bounds.LeavingBound.Value()
}

// AtRiskShare returns the share of slots for batch work that is at risk of missing its deadline.
func (b configBounds) AtRiskShare() float64 { return b.config.InForce().Document().Batch.AtRiskShare }

// slotPeers gives the slot controller access to the membership and the targets, which are built after it.
type slotPeers struct {
	daemon *Daemon
}

// Peers returns the daemons that may own targets.
func (p slotPeers) Peers() []controller.Peer { return p.daemon.membership.Peers() }

// TargetDomain returns the failure domain of a target.
func (p slotPeers) TargetDomain(target string) (string, bool) { return p.daemon.targets.TargetDomain(target) }

// buildPool returns the pool of targets with the load-balancing policy of the settings. For a policy that shares slots
// between daemons, it also adds the slot controller as an actor.
func (d *Daemon) buildPool() *balance.Pool {
	b := configBounds{config: d.config}
	r := mrand.New(mrand.NewPCG(uint64(time.Now().UnixNano()), 0)) //nolint:gosec // load balancing needs no secure randomness
	p := balance.NewPolicy(d.settings.Policy)

	var g balance.Granter

	if d.settings.Policy == balance.PolicyOwner || d.settings.Policy == balance.PolicyPowerOfTwo {
		self := controller.NewPeer(d.settings.VM, d.PeerAddress(), d.settings.FailureDomain, d.settings.Region)
		s := controller.NewSlots(self, slotPeers{daemon: d}, d.client, b, time.Now, d.settings.Policy != balance.PolicyOwner)
		g = s

		if err := d.server.Register("Slot", s.Service()); err != nil {
			d.logger.Error().Err(err).Msg("cannot register the slot service, slot requests of other daemons fail")
		}

		addActor(&d.group, s.Run)
		d.optionalDumpers["slots"] = operator.DumpFunc(func() any { return dumpOwnedSlots(s) })
	}

	l := balance.New(p, g, b, d.holderID, time.Now, r)
	d.optionalDumpers["targets"] = operator.DumpFunc(func() any { return dumpTargets(l) })

	return l
}

// targetRecord is a target in the state dump.
type targetRecord struct {
	Name     string `json:"name"`
	SetAside bool   `json:"set_aside"`
}

// dumpTargets returns the targets of this failure domain and whether each is ejected.
func dumpTargets(p *balance.Pool) any {
	l := []targetRecord{}
	for n, a := range p.Ejections() {
		l = append(l, targetRecord{Name: n, SetAside: a})
	}

	slices.SortFunc(l, func(a, b targetRecord) int { return strings.Compare(a.Name, b.Name) })

	return map[string]any{"targets": l}
}

// dumpOwnedSlots returns the load of each target whose slots this daemon owns.
func dumpOwnedSlots(s *controller.Slots) map[string]map[string]int {
	m := map[string]map[string]int{}

	for t, l := range s.OwnedLoads() {
		m[t] = map[string]int{"online": l.Online(), "batch": l.Batch(), "waiting": l.Waiting(), "limit": l.Limit()}
	}

	return m
}
