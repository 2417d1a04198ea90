package daemon

import (
	"context"
	mrand "math/rand/v2"
	"net/netip"
	"time"

	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/member"
	"github.com/agategap/agategap/target"
)

// memberService serves the net/rpc methods of the membership.
type memberService struct{ membership *controller.Membership }

// Gossip handles a heartbeat of another daemon and returns the reply.
func (s memberService) Gossip(q member.Message, a *member.Message) error {
	r, err := s.membership.Gossip(q)
	*a = r

	return err
}

// Check sends a heartbeat to a third daemon, which the requesting daemon suspects, and reports whether it replied.
func (s memberService) Check(q controller.CheckArgs, a *controller.CheckReply) error {
	ok, err := s.membership.Check(context.Background(), q)
	a.Answered = ok

	return err
}

// List returns the newest list of VMs that this daemon has.
func (s memberService) List(_ controller.ListArgs, a *controller.ListReply) error {
	*a = s.membership.List()

	return nil
}

// configService serves the net/rpc methods of the configuration.
type configService struct{ membership *controller.Membership }

// Fetch returns the configuration version in force if it is newer than the version that the requesting daemon has.
func (s configService) Fetch(q controller.FetchArgs, a *controller.FetchReply) error {
	*a = s.membership.Fetch(q.Known)

	return nil
}

// buildMembership builds the membership and the controller that asks targets whether they are leaving, and adds both as
// actors.
func (d *Daemon) buildMembership(c *target.Client) {
	now := time.Now()
	s := member.Settings{
		VM: d.settings.VM, Address: d.PeerAddress(), Domain: d.settings.FailureDomain, Region: d.settings.Region,
		Incarnation: uint64(now.UnixMilli()), //nolint:gosec // the time is after 1970, so it is not negative
		Seeds:       d.settings.Peers, Valid: isValidAddress,
	}
	r := mrand.New(mrand.NewPCG(uint64(now.UnixNano()), 1)) //nolint:gosec // chooses peers; needs no secure randomness

	d.membership = controller.NewMembership(s, d.client, d.config, d.targets, r, d.logger)
	d.targets.SetLeavingSource(d.membership)

	_ = d.server.Register("Member", memberService{d.membership})
	_ = d.server.Register("Config", configService{d.membership})

	addActor(&d.group, d.membership.Run)
	addActor(&d.group, controller.NewLeavingMonitor(d.targets, c, d.membership, d.settings.FailureDomain).Run)
}

func isValidAddress(a string) bool {
	_, err := netip.ParseAddrPort(a)

	return err == nil
}

// dumpMembership returns the membership section of the state dump.
func (d *Daemon) dumpMembership() any {
	p := []map[string]string{}
	for _, v := range d.membership.Peers() {
		p = append(p, map[string]string{"vm": v.VM(), "address": v.Address(), "domain": v.Domain(), "region": v.Region()})
	}

	return map[string]any{
		"peers": p, "counts": d.membership.Counts(), "server": d.server.Counts(), "client": d.client.Counts(),
	}
}

// Membership returns the membership controller.
func (d *Daemon) Membership() *controller.Membership { return d.membership }

// ConfigVersion returns the number of the configuration version in force; 0 if there is none.
func (d *Daemon) ConfigVersion() int64 { return d.config.InForce().Number() }

// ControlBytes returns the size in bytes of the net/rpc calls about membership and configuration that this daemon has
// served, with their replies.
func (d *Daemon) ControlBytes() int64 { return d.server.Bytes("Member") + d.server.Bytes("Config") }

// Kill ends the daemon without a shutdown, as the loss of its VM does: connections break and no peer is notified. The
// benchmarks use it.
func (d *Daemon) Kill() {
	d.membership.Stop()
	d.server.Close()
	d.client.Close()
	d.closeListeners()
}
