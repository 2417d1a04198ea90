// Package leaving has the controller of the announcements that targets make in their responses before they stop. The
// log may list a target as ready for seconds after that, or until it is gone.
package leaving

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/fleet"
)

// Registry keeps the announcements.
type Registry interface {
	// MarkLeaving records the announcement of an incarnation. It reports whether it is new.
	MarkLeaving(i fleet.Incarnation, now time.Time) bool
	// HasAnnouncedLeaving reports whether an incarnation has announced that it is leaving.
	HasAnnouncedLeaving(i fleet.Incarnation) bool
}

// Notifier tells the daemons that grant slots of a service about the registry's recent announcements.
type Notifier interface {
	NotifyOwners(service string)
}

// Counter adds to a counter of the metrics.
type Counter interface {
	Count(name string, n int64)
}

// Controller records the announcements in the responses that this daemon gets, and passes new ones on. It is safe for
// concurrent use.
type Controller struct {
	registry Registry
	notifier Notifier
	counter  Counter
	clock    func() time.Time
	logger   zerolog.Logger
}

// New returns a controller.
func New(r Registry, n Notifier, c Counter, clock func() time.Time, z zerolog.Logger) *Controller {
	return &Controller{registry: r, notifier: n, counter: c, clock: clock, logger: z}
}

// IsLeaving reports whether the incarnation of a target has announced to any daemon that it is leaving.
func (c *Controller) IsLeaving(t filter.Target) bool {
	return c.registry.HasAnnouncedLeaving(incarnation(t))
}

// MarkLeaving records the announcement of a target of a service. The first one is logged, and the slot owner of the
// service is notified at once; the other daemons get it with the next heartbeats.
func (c *Controller) MarkLeaving(t filter.Target, service string) {
	c.counter.Count("leaving_announcements", 1)

	if !c.registry.MarkLeaving(incarnation(t), c.clock()) {
		return
	}

	c.logger.Info().Str("event", "target_leaving").Str("target", t.Name()).Int64("start", t.Start()).Str("service", service).
		Msg("the target announced in a response that it is leaving")
	c.notifier.NotifyOwners(service)
}

// CountIgnored counts an announcement that has no effect.
func (c *Controller) CountIgnored() { c.counter.Count("leaving_announcements_ignored", 1) }

func incarnation(t filter.Target) fleet.Incarnation { return fleet.NewIncarnation(t.Name(), t.Start()) }
