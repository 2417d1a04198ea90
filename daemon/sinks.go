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

// Apply puts a version in force if it is newer. A version that cannot be decoded is ignored, so the previous one stays
// in force.
func (s *routeSink) Apply(k stream.KeyedRecord) {
	if k.Key() != platform.KeyConfig || len(k.Value()) == 0 {
		return
	}

	z := s.daemon.logger

	t, err := platform.DecodeConfig(k.Value())
	if err != nil {
		z.Error().Str("event", "config_rejected").Err(err).Int64("offset", k.Offset()).Msg("ignored a configuration version that cannot be decoded")

		return
	}

	if s.daemon.routes.UpdateIfNewer(t) {
		s.daemon.metrics.Count("config_versions", 1)
		z.Info().Str("event", "config").Int64("version", t.Version()).Int64("offset", k.Offset()).Msg("configuration adopted")
	}
}

// targetSink applies the registrations of targets that are read from the log to the registry.
type targetSink struct {
	targets *fleet.Registry
	logger  zerolog.Logger
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
		s.remove(k.Key(), k.Offset())

		return
	}

	t, err := platform.DecodeWorker(k.Key(), k.Value())
	if err != nil {
		s.logger.Warn().Str("event", "target_rejected").Str("target", k.Key()).Err(err).Msg("removing a target with an invalid registration")
		s.remove(k.Key(), k.Offset())

		return
	}

	if !s.targets.Put(t, k.Offset()) {
		return
	}

	s.logger.Info().Str("event", "target").Str("target", t.Name()).Str("address", t.Address()).Bool("leaving", t.Leaving()).
		Int64("offset", k.Offset()).Msg("target registration changed")
}

func (s *targetSink) remove(name string, offset int64) {
	s.targets.Remove(name, offset, time.Now())
	s.logger.Info().Str("event", "target_gone").Str("target", name).Int64("offset", offset).Msg("target removed")
}
