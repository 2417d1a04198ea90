package daemon

import (
	"context"

	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/platform"
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
			r = append(r, controller.NewTargetMachine(v.Name, v.Address, v.FailureDomain, v.Region, v.Service, leaving))
		} else {
			r = append(r, controller.NewEntryMachine(v.Name, v.PeerAddress, v.FailureDomain, v.Region, leaving))
		}
	}

	return r, nil
}
