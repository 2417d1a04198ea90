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

// Publisher publishes versions of the configuration. Each append is conditional on the end of the stream that the
// publisher has read, so if two operators publish at the same time, one of them is refused. It is safe for concurrent
// use.
type Publisher struct {
	log      keyed.Log
	codec    Codec
	consumer *keyed.Consumer
	history  versionHistory
}

// appendRetryDelay is the delay before an append whose response was lost is tried again.
const appendRetryDelay = 200 * time.Millisecond

// NewPublisher returns a publisher. It has no version until Read is called.
func NewPublisher(l keyed.Log, c Codec) *Publisher {
	p := &Publisher{log: l, codec: c, history: versionHistory{codec: c}}
	p.consumer = keyed.New(l, Stream, 0, &p.history, zerolog.Nop())

	return p
}

// Read catches up with the present end of the stream. It fails with the code LogUnavailable if the log cannot be read.
func (p *Publisher) Read(ctx context.Context) error {
	loaded := p.consumer.IsLoaded()

	err := p.consumer.Sync(ctx)
	if err == nil && !loaded {
		err = p.consumer.Sync(ctx) // the first Sync only loads, page by page; this one applies the records appended meanwhile
	}

	if err != nil {
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log cannot be read").WithCause(err)
	}

	return nil
}

// InForce returns the version in force according to the records read so far; the zero value if there is none.
func (p *Publisher) InForce() config.AdoptedVersion { return p.history.tracker.InForce() }

// Version returns a version by its number, if it was valid and the log still had it when it was read.
func (p *Publisher) Version(n int64) (config.AdoptedVersion, bool) { return p.history.find(n) }

// Publish appends a version and returns its number. The error has the code Conflict if the version in force is not the
// one that v is based on. An append whose response was lost is tried again, which cannot take effect twice. When
// timeout passes before the outcome is known, the effect of the error is Unknown.
func (p *Publisher) Publish(ctx context.Context, v config.Version, timeout time.Duration) (int64, error) {
	b, err := p.codec.EncodeVersion(v)
	if err != nil {
		return 0, err
	}

	if f := p.InForce(); f.Number() != v.BaseOn {
		return 0, newConflictError(f, v.BaseOn)
	}

	x, stop := context.WithTimeout(ctx, timeout)
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

// resolvePublication returns the outcome of publishing v as version n, once the record at its offset has been read.
func (p *Publisher) resolvePublication(v config.Version, n int64) (int64, error) {
	if f, ok := p.Version(n); ok && f.Version().ID == v.ID {
		return n, nil
	}

	return 0, newConflictError(p.InForce(), v.BaseOn)
}

func newConflictError(f config.AdoptedVersion, basedOn int64) error {
	return outcome.New(outcome.Conflict, outcome.NotRun,
		"conflict: version %d by %q is in force, and yours is based on version %d; merge its changes and publish again",
		f.Number(), f.Version().Author, basedOn)
}

// versionHistory is the sink of a Publisher. It has the version in force and the valid versions before it that were
// read.
type versionHistory struct {
	codec   Decoder
	tracker config.VersionTracker

	mu       sync.Mutex
	versions map[int64]config.AdoptedVersion
}

// Reset applies the versions that the log has, in order of offset.
func (h *versionHistory) Reset(l []stream.KeyedRecord, _ int64) {
	for _, k := range sortByOffset(l) {
		h.Apply(k)
	}
}

// Apply adds a version to the history. Versions that daemons ignore are left out.
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
