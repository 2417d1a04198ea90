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

// memberService is the net/rpc front end of the membership.
type memberService struct{ membership *controller.Membership }

// Gossip answers a heartbeat.
func (s memberService) Gossip(q member.Message, a *member.Message) error {
	r, err := s.membership.Gossip(q)
	*a = r

	return err
}

// Check reports whether another daemon answers this one.
func (s memberService) Check(q controller.CheckArgs, a *controller.CheckReply) error {
	ok, err := s.membership.Check(context.Background(), q)
	a.Answered = ok

	return err
}

// List returns the last list of VMs.
func (s memberService) List(_ controller.ListArgs, a *controller.ListReply) error {
	*a = s.membership.List()

	return nil
}

// configService is the net/rpc front end of the configuration.
type configService struct{ membership *controller.Membership }

// Fetch returns the version in force when it is newer.
func (s configService) Fetch(q controller.FetchArgs, a *controller.FetchReply) error {
	*a = s.membership.Fetch(q.Known)

	return nil
}

// buildMembership adds the membership, and the question to targets whether they are leaving.
func (d *Daemon) buildMembership(c *target.Client) {
	now := time.Now()
	s := member.Settings{
		VM: d.settings.VM, Address: d.PeerAddress(), Domain: d.settings.FailureDomain, Region: d.settings.Region,
		Incarnation: uint64(now.UnixMilli()), //nolint:gosec // after 1970
		Seeds:       d.settings.Peers, Valid: isValidAddress,
	}
	r := mrand.New(mrand.NewPCG(uint64(now.UnixNano()), 1)) //nolint:gosec // choice of peers

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

// dumpMembership returns the part of the state dump.
func (d *Daemon) dumpMembership() any {
	p := []map[string]string{}
	for _, v := range d.membership.Peers() {
		p = append(p, map[string]string{"vm": v.VM(), "address": v.Address(), "domain": v.Domain(), "region": v.Region()})
	}

	return map[string]any{
		"peers": p, "counts": d.membership.Counts(), "server": d.server.Counts(), "client": d.client.Counts(),
	}
}

// Membership returns the membership of the daemon.
func (d *Daemon) Membership() *controller.Membership { return d.membership }

// ConfigVersion returns the configuration version in force, 0 for none.
func (d *Daemon) ConfigVersion() int64 { return d.config.InForce().Number() }

// ControlBytes returns the bytes of the messages of membership and configuration that this daemon answered, with
// the answers.
func (d *Daemon) ControlBytes() int64 { return d.server.Bytes("Member") + d.server.Bytes("Config") }

// Kill ends the daemon as the loss of its VM would: no peer is told and connections break.
func (d *Daemon) Kill() {
	d.membership.Stop()
	d.server.Close()
	d.client.Close()
	d.closeListeners()
}
