package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/routing"
	"github.com/agategap/agategap/stream"
)

// currentRoutes holds the version of the routes in force. New versions come from the log or, at the start, from other
// daemons.
type currentRoutes struct {
	routing.Current
}

// Encoded returns the version in force as the operator of the platform published it; nil if there is none.
func (r *currentRoutes) Encoded() []byte {
	if t := r.Table(); t != nil {
		return t.Raw()
	}

	return nil
}

// Adopt decodes a version that another daemon has and puts it in force if it is newer. It fails only if the version
// cannot be decoded.
func (r *currentRoutes) Adopt(b []byte) error {
	t, err := platform.DecodeConfig(b)
	if err != nil {
		return err
	}

	r.UpdateIfNewer(t)

	return nil
}

// routeSink applies the versions of the routes that are read from the log.
type routeSink struct {
	daemon *RoutedDaemon
}

// Reset applies the versions that the log has. The newest one comes into force.
func (s *routeSink) Reset(l []stream.KeyedRecord, _ int64) {
	for _, k := range l {
		s.Apply(k)
	}
}

// Apply puts a version in force if it is newer. An invalid version is ignored as a whole, so the previous one stays in
// force.
func (s *routeSink) Apply(k stream.KeyedRecord) {
	if k.Key() != platform.KeyConfig || len(k.Value()) == 0 {
		return
	}

	z := s.daemon.logger

	t, err := platform.DecodeConfig(k.Value())
	if err != nil {
		s.daemon.metrics.Count("config_versions_rejected", 1)
		z.Error().Str("event", "config_rejected").Err(err).Int64("offset", k.Offset()).Int64("in_force", s.daemon.routes.Version()).
			Msg("ignored an invalid version of the configuration")

		return
	}

	if s.daemon.routes.UpdateIfNewer(t) {
		s.daemon.metrics.Count("config_versions", 1)
		z.Info().Str("event", "config").Int64("version", t.Version()).Int64("offset", k.Offset()).Msg("configuration adopted")
	}
}

// targetSink applies the registrations of targets that are read from the log to the registry.
type targetSink struct {
	targets  *fleet.Registry
	metrics  *metrics
	logger   zerolog.Logger
	rejected map[string]bool // targets whose last registration was invalid; used by the consumer only
}

// Reset applies all registrations and removes the targets that have none, because removals may be among the records
// that were not read.
func (s *targetSink) Reset(l []stream.KeyedRecord, end int64) {
	s.targets.MarkLogRead()

	seen := map[string]bool{}

	for _, k := range l {
		seen[k.Key()] = true

		s.Apply(k)
	}

	for _, n := range s.targets.Names() {
		if !seen[n] {
			s.remove(n, end-1) // the record of the removal has an offset before end
		}
	}
}

// Apply applies a registration. An invalid registration removes the target.
func (s *targetSink) Apply(k stream.KeyedRecord) {
	if k.Key() == "" {
		return
	}

	if len(k.Value()) == 0 {
		delete(s.rejected, k.Key())
		s.remove(k.Key(), k.Offset())

		return
	}

	t, err := platform.DecodeWorker(k.Key(), k.Value())
	if err != nil {
		s.reject(k, err)

		return
	}

	delete(s.rejected, k.Key())

	if !s.targets.Put(t, k.Offset()) {
		return
	}

	s.logger.Info().Str("event", "target").Str("target", t.Name()).Str("address", t.Address()).Bool("leaving", t.Leaving()).
		Int64("offset", k.Offset()).Msg("target registration changed")
}

// reject removes a target with an invalid registration. Only the first of several in a row is logged, as its writer may
// renew it every second.
func (s *targetSink) reject(k stream.KeyedRecord, err error) {
	s.metrics.Count("rejected_registrations", 1)
	s.targets.Remove(k.Key(), k.Offset(), time.Now())

	if s.rejected[k.Key()] || len(s.rejected) >= maxRejectedTargets {
		return
	}

	if s.rejected == nil {
		s.rejected = map[string]bool{}
	}

	s.rejected[k.Key()] = true

	s.logger.Warn().Str("event", "target_rejected").Str("target", k.Key()).Int64("offset", k.Offset()).Err(err).
		Msg("removing a target with an invalid registration")
}

// maxRejectedTargets bounds the targets whose invalid registrations are remembered, as any writer can add keys.
const maxRejectedTargets = 1000

func (s *targetSink) remove(name string, offset int64) {
	s.targets.Remove(name, offset, time.Now())
	s.logger.Info().Str("event", "target_gone").Str("target", name).Int64("offset", offset).Msg("target removed")
}
