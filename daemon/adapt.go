package daemon

import (
	"context"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/shard"
	"github.com/agategap/agategap/wire"
)

// machines gives the platform's list to the controllers.
type machines struct {
	client *platform.Client
}

// Machines returns the list.
func (m machines) Machines(ctx context.Context) ([]controller.Machine, error) {
	l, err := m.client.VMs(ctx)
	if err != nil {
		return nil, err
	}

	r := make([]controller.Machine, 0, len(l))

	for _, v := range l {
		leaving := v.State == platform.StateLeaving

		if v.Role == platform.RoleTarget {
			m := controller.NewTargetMachine(v.Name, v.Address, v.FailureDomain, v.Region, v.Service, leaving)
			if v.Kind == config.KindPlain {
				m = m.AsPlain()
			}

			r = append(r, m)
		} else {
			r = append(r, controller.NewEntryMachine(v.Name, v.PeerAddress, v.FailureDomain, v.Region, leaving))
		}
	}

	return r, nil
}

// republisher appends the configuration again. The first entry VM by rendezvous hashing does it; copies by two VMs
// whose lists differ have no effect.
type republisher struct {
	client *platform.Client
	peers  func() []controller.Peer
	vm     string
}

// Elected reports whether this VM is the first one on the list that it knows.
func (r republisher) Elected() bool {
	n := []string{r.vm}
	for _, p := range r.peers() {
		n = append(n, p.VM())
	}

	return shard.First(controller.ConfigStream, n) == r.vm
}

// Republish appends v.
func (r republisher) Republish(ctx context.Context, v config.Version) error {
	b, err := (wire.Versions{}).EncodeVersion(v)
	if err != nil {
		return err
	}

	_, err = r.client.Append(ctx, controller.ConfigStream, b)

	return err
}
