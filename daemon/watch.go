package daemon

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/internal/batch/waiting"
	"github.com/agategap/agategap/logging"
	"github.com/agategap/agategap/outcome"
)

// stepWatcher counts the steps of requests in metrics. It logs the steps of requests that fail or are retried, and a
// sample of the others.
type stepWatcher struct {
	logger   zerolog.Logger
	metrics  *metrics
	limiter  *logging.Limiter
	inFlight *logging.InFlight
	items    filter.Watcher // of the steps of batch items; set before the daemon runs
}

func newStepWatcher(z zerolog.Logger, m *metrics, b *logging.Limiter, f *logging.InFlight) *stepWatcher {
	return &stepWatcher{logger: z, metrics: m, limiter: b, inFlight: f}
}

// Watch counts a step and logs it within the rate limit of its kind.
func (w *stepWatcher) Watch(r *filter.Request, s filter.Step) {
	w.metrics.recordStep(r, s)
	w.trackInFlight(r, s)
	w.items.Watch(r, s)

	kind := s.Name() + " " + r.Class().String()
	ordinary := s.Err() == nil && s.Attempt() <= 1

	if ordinary && !w.limiter.Sample(kind, time.Now()) || !ordinary && !w.limiter.Allow(kind+" failed", time.Now()) {
		return
	}

	e := w.logger.Info().Str("event", s.Name()).Str("request", r.ID()).Str("class", r.Class().String()).Str("service", r.TargetService()).
		Str("route", r.Route().Name()).Int64("version", r.RouteVersion()).Int("attempt", s.Attempt()).Int("last_event", s.LastEvent()).
		Int64("age_ms", s.Age().Milliseconds())

	if s.Target() != "" {
		e = e.Str("target", s.Target())
	}

	// Targets may crash under a part of the prompt.
	crashed := errors.Is(s.Err(), filter.ErrTargetCrashed)
	if s.Err() != nil && (s.LastEvent() == 0 || crashed) && len(r.PromptParts()) > 0 {
		e = e.Strs("parts", r.PromptParts()).Bool("target_crashed", crashed)
	}

	if s.Err() != nil {
		o := outcome.From(s.Err())
		e = e.Err(s.Err()).Str("code", string(o.Code())).Str("effect", string(o.Effect()))
	}

	if s.Cause() != nil {
		e = e.Str("caller", s.Cause().Error())
	}

	e.Msg("request step")
}

// trackInFlight records which online requests are in flight. Batch items are left out, as the log has their progress.
func (w *stepWatcher) trackInFlight(r *filter.Request, s filter.Step) {
	switch {
	case r.Class() != filter.Online:
	case s.Name() == "sent":
		w.inFlight.Start(r.ID(), s.Target())
	default:
		w.inFlight.End(r.ID())
	}
}

// recordStep counts a step by name, class and outcome code, and the time of completed requests.
func (m *metrics) recordStep(r *filter.Request, s filter.Step) {
	code := "ok"
	if s.Err() != nil {
		code = string(outcome.From(s.Err()).Code())
	}

	m.scope.Tagged(map[string]string{"step": s.Name(), "class": r.Class().String(), "code": code}).Counter("steps").Inc(1)

	if s.Name() == "completed" {
		m.scope.Tagged(map[string]string{"class": r.Class().String()}).Timer("request_time").Record(s.Age())
	}
}

// dumpSlots returns the slot usage and the waiting requests of the services whose slots this daemon owns.
func (d *RoutedDaemon) dumpSlots() any {
	m := map[string]map[string]int{}

	for n, u := range d.slotOwner.Usage() {
		used, all := u.Slots()
		online, batch := u.Waiting()
		m[n] = map[string]int{"used": used, "slots": all, "online_waiting": online, "batch_waiting": batch}
	}

	return m
}

// dumpPeers returns the live daemons and all known ones, without this daemon.
func (d *RoutedDaemon) dumpPeers() any {
	return map[string]any{"live": d.mesh.Table().LivePeers(time.Now()), "known": d.mesh.Table().KnownPeers(time.Now())}
}

// maxDumpedItems bounds the items that wait in a dump; those that have waited for the longest time are kept.
const maxDumpedItems = 64

// dumpJobs returns the numbers of jobs and results in the replicas, the number of items active at this daemon, and why
// items wait.
func (d *RoutedDaemon) dumpJobs() any {
	j, r := d.batches.Count()

	l, c := d.runner.Waits(maxDumpedItems)
	now := time.Now()
	counts, items := map[string]int{}, []map[string]any{}

	for _, v := range waiting.Reasons() {
		if n := c.Of(v); n > 0 {
			counts[v.String()] = n
		}
	}

	for _, i := range l {
		k := i.Cause()
		items = append(items, map[string]any{
			"job": i.Job(), "item": i.ID(), "reason": k.Reason().String(), "reason_age_ms": now.Sub(k.Since()).Milliseconds(),
			"idle_ms": now.Sub(i.IdleSince()).Milliseconds(), "code": k.Code(), "error": k.Message(),
		})
	}

	return map[string]any{"jobs": j, "results": r, "running": d.runner.ActiveItems(), "waiting": counts, "longest": items}
}

// CountItemWait counts an item that waits, by reason.
func (m *metrics) CountItemWait(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("item_waits").Inc(1)
}

// dumpQuarantine returns the combinations of parts of prompts that are quarantined, with the seconds until the next trial.
func (d *RoutedDaemon) dumpQuarantine() any {
	l := []map[string]any{}

	for _, e := range d.quarantine.Entries() {
		l = append(l, map[string]any{
			"service": e.Service(), "parts": e.Parts(), "next_trial_s": int(e.Remaining().Seconds()), "crashes": e.Crashes(), "trials": e.Trials(),
		})
	}

	return l
}
