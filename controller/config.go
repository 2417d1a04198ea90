// Package controller has the controllers: each owns one kind of state, is its only writer and runs as one actor.
// They reach the outside through interfaces only.
package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/stream"
)

// ConfigStream is the stream of configuration versions.
const ConfigStream = "config"

const (
	// readWait is how long a read waits at the log for a new record.
	readWait = 5 * time.Second
	// retryDelay keeps a controller from flooding a service that is down.
	retryDelay = 200 * time.Millisecond
)

// Log reads the append-only log.
type Log interface {
	Read(ctx context.Context, name string, from int64, wait time.Duration) (stream.Page, error)
}

// VersionCodec decodes published versions.
type VersionCodec interface {
	DecodeVersion(b []byte) (config.Version, error)
}

// Config follows the configuration and answers what the filters ask of it.
type Config struct {
	log    Log
	codec  VersionCodec
	logger zerolog.Logger
	ledger config.Ledger

	republish Republisher
	retention time.Duration
	clock     func() time.Time
	offset    int64     // of the last replayed record; used by Run only
	carried   time.Time // log's time of the newest record that carries the version in force; used by Run only

	mu       sync.RWMutex
	accounts map[string]filter.Account
	services map[string]filter.Service
	changed  chan struct{}
}

// NewConfig returns the controller.
func NewConfig(l Log, c VersionCodec, z zerolog.Logger) *Config {
	return &Config{log: l, codec: c, logger: z, changed: make(chan struct{})}
}

// Republisher appends the version in force to the log again.
type Republisher interface {
	// Elected reports whether this daemon is the one that republishes.
	Elected() bool
	// Republish appends v. A second copy has no effect.
	Republish(ctx context.Context, v config.Version) error
}

// SetRepublisher lets the controller republish the version in force before a log that keeps records for a retention
// time drops it. A retention of 0 means that the log keeps them for good. It is called before Run.
func (c *Config) SetRepublisher(r Republisher, retention time.Duration, clock func() time.Time) {
	c.republish, c.retention, c.clock = r, retention, clock
}

// Run follows the stream until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p, err := c.log.Read(ctx, ConfigStream, c.offset+1, readWait)

		if errors.Is(err, stream.ErrDropped) && p.Oldest() > c.offset+1 {
			c.logger.Warn().Int64("offset", c.offset).Int64("oldest", p.Oldest()).Msg("the log dropped configuration records before they were read")
			c.ledger.Restart(p.Oldest())
			c.offset = p.Oldest() - 1

			continue
		}

		if err != nil {
			sleep(ctx, retryDelay)

			continue
		}

		for _, e := range p.Entries() {
			c.replay(e)
		}

		if c.due() {
			c.restate(ctx)
		}
	}

	return nil
}

// republishShare is the share of the retention after which the version in force is republished.
const republishShare = 4

func (c *Config) due() bool {
	return c.republish != nil && c.retention > 0 && !c.carried.IsZero() && c.clock().Sub(c.carried) >= c.retention/republishShare && c.republish.Elected()
}

func (c *Config) restate(ctx context.Context) {
	v, ok := c.ledger.Restate(c.offset)
	if !ok {
		return
	}

	if err := c.republish.Republish(ctx, v); err != nil {
		c.logger.Warn().Err(err).Msg("the configuration was not republished")
		sleep(ctx, retryDelay)
	}
}

func (c *Config) replay(e stream.Entry) {
	c.offset = e.Offset()

	v, err := c.codec.DecodeVersion(e.Data())
	if err != nil {
		c.logger.Warn().Int64("offset", e.Offset()).Err(err).Msg("a configuration record cannot be decoded")

		return
	}

	d, err := c.ledger.Apply(e.Offset(), v)
	if d == config.Invalid {
		c.logger.Warn().Int64("offset", e.Offset()).Err(err).Msg("an invalid configuration was ignored")
	}

	if d == config.Adopted || d == config.Restated && v.Restates == c.ledger.InForce().Offset() {
		c.carried = e.At()
	}

	if d == config.Adopted {
		c.adopt()
	}
}

// Receive takes a version that a peer has in force. It never goes back to a lower offset.
func (c *Config) Receive(offset int64, v config.Version) error {
	d, err := c.ledger.Receive(offset, v)
	if d == config.Adopted {
		c.adopt()
	}

	return err
}

// adopt makes the version in force visible to the filters.
func (c *Config) adopt() {
	// Two adoptions at a time, one from the log and one from a peer, must end with the higher version.
	c.mu.Lock()
	defer c.mu.Unlock()

	f := c.ledger.InForce()
	a, s := map[string]filter.Account{}, map[string]filter.Service{}

	for _, v := range f.Document().Accounts {
		for _, h := range v.KeyHashes {
			a[h] = filter.NewAccount(v.Name, v.Concurrency)
		}
	}

	for _, v := range f.Document().Services {
		s[v.Name] = service(v)
	}

	c.accounts, c.services = a, s
	close(c.changed)
	c.changed = make(chan struct{})

	c.logger.Info().Int64("version", f.Offset()).Str("author", f.Version().Author).Msg("configuration adopted")
}

func service(v config.ServiceRecord) filter.Service {
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
func (c *Config) InForce() config.InForce { return c.ledger.InForce() }

// Changed returns a channel that is closed when the next version is adopted.
func (c *Config) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()

	return c.changed
}

// Account returns the account of a bearer key. Keys are looked up by their hash, so the time that it takes says
// nothing about how much of a key is right.
func (c *Config) Account(credential string) (filter.Account, bool) {
	h := sha256.Sum256([]byte(credential))

	c.mu.RLock()
	defer c.mu.RUnlock()

	a, ok := c.accounts[hex.EncodeToString(h[:])]

	return a, ok
}

// Service returns the settings of a service.
func (c *Config) Service(name string) (filter.Service, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()

	s, ok := c.services[name]

	return s, ok
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
