// Package configs has the controller of the configuration, and what publishes versions of it.
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

// retainedVersions is the number of versions that stay in the log for good. A reader goes back to the one before a version that it
// refuses, and an operator whose version is refused sees what others have changed.
const retainedVersions = 8

// versionKey returns the key of a version. The newest versions have different ones.
func versionKey(version int64) string { return strconv.FormatInt(version%retainedVersions, 10) }

// Decoder decodes published versions.
type Decoder interface {
	DecodeVersion(b []byte) (config.Version, error)
}

// Controller follows the configuration and answers what the filters ask of it. It is the sink of a follower of Stream.
type Controller struct {
	codec  Decoder
	logger zerolog.Logger
	tracker config.VersionTracker

	mu       sync.RWMutex
	accounts map[string]filter.Account
	services map[string]filter.Service
	changed  chan struct{}
}

// New returns the controller.
func New(c Decoder, z zerolog.Logger) *Controller {
	return &Controller{codec: c, logger: z, changed: make(chan struct{})}
}

// Reset takes the versions that the log has.
func (c *Controller) Reset(l []stream.KeyedRecord, _ int64) {
	for _, k := range sortByOffset(l) {
		c.Apply(k)
	}
}

// sortByOffset returns records in order of offset.
func sortByOffset(l []stream.KeyedRecord) []stream.KeyedRecord {
	return slices.SortedFunc(slices.Values(l), func(a, b stream.KeyedRecord) int { return cmp.Compare(a.Offset(), b.Offset()) })
}

// Apply takes a version. One that cannot be decoded or has findings is left out, and the one before it stays in force.
func (c *Controller) Apply(k stream.KeyedRecord) {
	v, err := c.codec.DecodeVersion(k.Value())
	if err != nil {
		c.logger.Warn().Str("event", "config_rejected").Int64("offset", k.Offset()).Err(err).Msg("a record of the configuration cannot be decoded")

		return
	}

	d, err := c.tracker.Apply(k.Offset()+1, v)
	if d == config.Invalid {
		c.logger.Warn().Str("event", "config_rejected").Int64("version", k.Offset()+1).Err(err).Msg("an invalid configuration was ignored")
	}

	if d == config.Adopted {
		c.updateLookups()
	}
}

// Receive takes a version that a peer has in force. It never goes back to a lower offset.
func (c *Controller) Receive(offset int64, v config.Version) error {
	d, err := c.tracker.Apply(offset, v)
	if d == config.Adopted {
		c.updateLookups()
	}

	return err
}

// updateLookups makes the version in force visible to the filters.
func (c *Controller) updateLookups() {
	// Two adoptions at a time, one from the log and one from a peer, must end with the higher version.
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

// InForce returns the version in force.
func (c *Controller) InForce() config.AdoptedVersion { return c.tracker.InForce() }

// Changed returns a channel that is closed when the next version is adopted.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()

	return c.changed
}

// Account returns the account of a bearer key. Keys are looked up by their hash, so the time that it takes says
// nothing about how much of a key is right.
func (c *Controller) Account(credential string) (filter.Account, bool) {
	h := sha256.Sum256([]byte(credential))

	c.mu.RLock()
	defer c.mu.RUnlock()

	a, ok := c.accounts[hex.EncodeToString(h[:])]

	return a, ok
}

// Service returns the settings of a service.
func (c *Controller) Service(name string) (filter.Service, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()

	s, ok := c.services[name]

	return s, ok
}
