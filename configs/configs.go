// Package configs follows the published versions of the configuration and publishes new ones. Daemons look up accounts,
// services and the version in force in its Controller; the publish and config commands use its Publisher.
package configs

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"sync"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/stream"
)

// Stream is the keyed stream of published versions. Version N is the record at offset N-1.
const Stream = "keyed.configuration"

// retainedVersions is the number of newest versions that the log keeps for good. A reader can fall back to an earlier
// version if the newest is invalid, and an operator whose version is refused can see the changes of others.
const retainedVersions = 8

// versionKey returns the key of a version in the stream. The newest retainedVersions versions have different keys.
func versionKey(version int64) string { return strconv.FormatInt(version%retainedVersions, 10) }

// Decoder decodes published versions.
type Decoder interface {
	DecodeVersion(b []byte) (config.Version, error)
}

// Controller tracks the version in force and looks up accounts and services for the filters. It is the sink of a
// consumer of Stream. It is safe for concurrent use.
type Controller struct {
	codec   Decoder
	logger  zerolog.Logger
	tracker config.VersionTracker

	mu       sync.RWMutex
	accounts map[string]filter.Account
	services map[string]filter.Service
	changed  chan struct{}
}

// New returns a controller without a version.
func New(c Decoder, z zerolog.Logger) *Controller {
	return &Controller{codec: c, logger: z, changed: make(chan struct{})}
}

// Reset applies the versions that the log still has, in order of offset.
func (c *Controller) Reset(l []stream.KeyedRecord, _ int64) {
	for _, k := range sortByOffset(l) {
		c.Apply(k)
	}
}

// sortByOffset returns a copy of l in order of offset.
func sortByOffset(l []stream.KeyedRecord) []stream.KeyedRecord {
	return slices.SortedFunc(slices.Values(l), func(a, b stream.KeyedRecord) int { return cmp.Compare(a.Offset(), b.Offset()) })
}

// Apply puts a version in force if it is newer. A version that cannot be decoded or is invalid is ignored, so the
// previous one stays in force.
func (c *Controller) Apply(k stream.KeyedRecord) {
	v, err := c.codec.DecodeVersion(k.Value())
	if err != nil {
		c.logger.Warn().Str("event", "config_rejected").Int64("offset", k.Offset()).Err(err).Msg("ignored a configuration version that cannot be decoded")

		return
	}

	d, err := c.tracker.Apply(k.Offset()+1, v)
	if d == config.Invalid {
		c.logger.Warn().Str("event", "config_rejected").Int64("version", k.Offset()+1).Err(err).Msg("ignored an invalid configuration version")
	}

	if d == config.Adopted {
		c.updateLookups()
	}
}

// Receive adopts the version that is in force at a peer if it is newer. It fails if the version is invalid.
func (c *Controller) Receive(number int64, v config.Version) error {
	d, err := c.tracker.Apply(number, v)
	if d == config.Adopted {
		c.updateLookups()
	}

	return err
}

// updateLookups replaces the accounts and services by those of the version in force, and notifies the waiters on
// Changed.
func (c *Controller) updateLookups() {
	// Read the version in force under the lock: of two concurrent calls, one for a version from the log and one for a
	// version from a peer, the last must set the higher version.
	c.mu.Lock()
	defer c.mu.Unlock()

	f := c.tracker.InForce()
	a, s := map[string]filter.Account{}, map[string]filter.Service{}

	for _, v := range f.Document().Accounts {
		for _, h := range v.KeyHashes {
			a[h] = filter.NewAccount(v.Name, v.Concurrency)
		}
	}

	for _, v := range f.Document().Services {
		s[v.Name] = newService(v)
	}

	c.accounts, c.services = a, s
	close(c.changed)
	c.changed = make(chan struct{})

	c.logger.Info().Str("event", "config").Int64("version", f.Number()).Str("author", f.Version().Author).Msg("configuration adopted")
}

func newService(v config.ServiceRecord) filter.Service {
	return filter.NewService(filter.ServiceSettings{
		Name:          v.Name,
		Targets:       v.Targets,
		Plain:         v.Kind == config.KindPlain,
		Idempotent:    v.Idempotent,
		Record:        v.Record,
		HoldOnOutage:  v.HoldOnOutage,
		Deadline:      v.Deadline.Value(),
		MaxAttempts:   v.MaxAttempts,
		Hedge:         v.Hedge,
		IdleBound:     v.IdleBound.Value(),
		Lookup:        v.Lookup,
		RetainResults: v.RetainResults.Value(),
	})
}

// InForce returns the version in force; the zero value if there is none.
func (c *Controller) InForce() config.AdoptedVersion { return c.tracker.InForce() }

// Changed returns a channel that is closed when the next version is adopted.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()

	return c.changed
}

// Account returns the account of a bearer key. The lookup is by the hash of the key, so its timing does not reveal how
// much of a guessed key is right.
func (c *Controller) Account(credential string) (filter.Account, bool) {
	h := sha256.Sum256([]byte(credential))

	c.mu.RLock()
	defer c.mu.RUnlock()

	a, ok := c.accounts[hex.EncodeToString(h[:])]

	return a, ok
}

// Service returns the settings of a service by its name.
func (c *Controller) Service(name string) (filter.Service, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()

	s, ok := c.services[name]

	return s, ok
}
