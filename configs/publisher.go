package configs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/stream"
)

// Codec encodes and decodes published versions.
type Codec interface {
	Decoder
	EncodeVersion(v config.Version) ([]byte, error)
}

// Publisher publishes versions of the configuration. Each append is conditional on the end of the stream that its
// publisher has read, so that of two operators who publish at the same time one is refused. It is safe for concurrent use.
type Publisher struct {
	log      keyed.Log
	codec    Codec
	consumer *keyed.Consumer
	history  versionHistory
}

// appendRetryDelay is the time between two attempts at an append whose answer was lost.
const appendRetryDelay = 200 * time.Millisecond

// NewPublisher returns a publisher. It knows nothing before Read.
func NewPublisher(l keyed.Log, c Codec) *Publisher {
	p := &Publisher{log: l, codec: c, history: versionHistory{codec: c}}
	p.consumer = keyed.New(l, Stream, 0, &p.history, zerolog.Nop())

	return p
}

// Read reads what the log has beyond what was read before.
func (p *Publisher) Read(ctx context.Context) error {
	loaded := p.consumer.IsLoaded()

	err := p.consumer.Sync(ctx)
	if err == nil && !loaded {
		err = p.consumer.Sync(ctx) // a listing is not a snapshot; what follows its first page makes it one
	}

	if err != nil {
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log cannot be read").WithCause(err)
	}

	return nil
}

// InForce returns the version in force as read so far.
func (p *Publisher) InForce() config.AdoptedVersion { return p.history.tracker.InForce() }

// Version returns an earlier version, as far as the log still has it.
func (p *Publisher) Version(n int64) (config.AdoptedVersion, bool) { return p.history.find(n) }

// Publish appends a version and returns its number. A conflict means that another version than the one that v is based
// on is in force. An append whose answer was lost is made again, which cannot take effect twice, until within has
// passed; the outcome is unknown then.
func (p *Publisher) Publish(ctx context.Context, v config.Version, within time.Duration) (int64, error) {
	b, err := p.codec.EncodeVersion(v)
	if err != nil {
		return 0, err
	}

	if f := p.InForce(); f.Number() != v.BaseOn {
		return 0, newConflictError(f, v.BaseOn)
	}

	x, stop := context.WithTimeout(ctx, within)
	defer stop()

	end := p.consumer.NextOffset()
	records := []stream.KeyedRecord{stream.NewKeyedRecord(0, versionKey(end+1), b)}

	for lost := false; ; {
		o, err := p.log.Append(x, Stream, 0, records, end)

		switch {
		case err == nil:
			p.consumer.ApplyAppended(records, o)
		case errors.Is(err, stream.ErrRefused) && !errors.Is(err, stream.ErrOffsetMismatch) && !lost:
			return 0, outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log refused the version; publish it again later").WithCause(err)
		default:
			lost = true
			err = errors.Join(err, p.Read(x))
		}

		if p.consumer.NextOffset() > end {
			return p.resolvePublication(v, end+1)
		}

		select {
		case <-time.After(appendRetryDelay):
		case <-x.Done():
			return 0, outcome.New(outcome.LogUnavailable, outcome.Unknown,
				"the log has not confirmed the version, and it is not in the stream yet; look at agategap config before publishing again").WithCause(err)
		}
	}
}

// resolvePublication returns what became of a version, once the record at its place is read.
func (p *Publisher) resolvePublication(v config.Version, n int64) (int64, error) {
	if f, ok := p.Version(n); ok && f.Version().ID == v.ID {
		return n, nil
	}

	return 0, newConflictError(p.InForce(), v.BaseOn)
}

func newConflictError(f config.AdoptedVersion, based int64) error {
	return outcome.New(outcome.Conflict, outcome.NotRun,
		"conflict: version %d by %q is in force, and yours is based on version %d; merge its changes and publish again",
		f.Number(), f.Version().Author, based)
}

// versionHistory has the version in force and some versions before it.
type versionHistory struct {
	codec  Decoder
	tracker config.VersionTracker

	mu       sync.Mutex
	versions map[int64]config.AdoptedVersion
}

// Reset takes the versions that the log has.
func (h *versionHistory) Reset(l []stream.KeyedRecord, _ int64) {
	for _, k := range sortByOffset(l) {
		h.Apply(k)
	}
}

// Apply takes a version. One that daemons refuse is none.
func (h *versionHistory) Apply(k stream.KeyedRecord) {
	v, err := h.codec.DecodeVersion(k.Value())
	if err != nil {
		return
	}

	if d, _ := h.tracker.Apply(k.Offset()+1, v); d != config.Adopted {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.versions == nil {
		h.versions = map[int64]config.AdoptedVersion{}
	}

	h.versions[k.Offset()+1] = h.tracker.InForce()
}

func (h *versionHistory) find(n int64) (config.AdoptedVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	f, ok := h.versions[n]

	return f, ok
}
