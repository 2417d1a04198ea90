package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/shard"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

const (
	// announceRetryDelay is the delay after the log did not take the record of this daemon.
	announceRetryDelay = 300 * time.Millisecond
	// announceTimeout bounds one attempt.
	announceTimeout = 5 * time.Second
)

// Log appends to the keyed stream of the daemons' records.
type Log interface {
	Append(ctx context.Context, name string, part int, records []stream.KeyedRecord, at int64) (int64, error)
}

// Members announces this daemon in the log and knows the records of the others. It is the sink of a follower of the
// stream.
type Members struct {
	log    Log
	stream string
	self   Record
	addPeer  func(p Peer)
	clock  func() time.Time
	logger zerolog.Logger
	registry Registry
}

// NewMembers returns the controller of the records in a stream. learn is told of the daemon of each record.
func NewMembers(l Log, stream string, self Record, learn func(p Peer), clock func() time.Time, z zerolog.Logger) *Members {
	return &Members{log: l, stream: stream, self: self, addPeer: learn, clock: clock, logger: z}
}

// Records returns the records of daemons that have announced themselves lately.
func (m *Members) Records() []Record { return m.registry.Records(m.clock()) }

// SetLogDown records whether the log is available.
func (m *Members) SetLogDown(down bool, now time.Time) { m.registry.SetLogDown(down, now) }

// Reset takes all records.
func (m *Members) Reset(l []stream.KeyedRecord, _ int64) {
	on := map[string]bool{}

	for _, k := range l {
		on[k.Key()] = true

		m.Apply(k)
	}

	for _, v := range m.Records() {
		if !on[v.Peer.VM] {
			m.registry.Remove(v.Peer.VM)
		}
	}
}

// Apply takes the record of a daemon.
func (m *Members) Apply(k stream.KeyedRecord) {
	if k.Key() == "" {
		return
	}

	if len(k.Value()) == 0 {
		m.registry.Remove(k.Key())

		return
	}

	var v Record
	if err := wire.Unmarshal(k.Value(), &v); err != nil || v.Peer.VM != k.Key() {
		m.logger.Warn().Str("event", "member_rejected").Str("key", k.Key()).Err(err).Msg("a record names no daemon")

		return
	}

	m.registry.Put(v, m.clock())
	m.addPeer(v.Peer)
}

// Run announces this daemon until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	b, err := wire.Marshal(m.self)
	if err != nil {
		return err
	}

	own := []stream.KeyedRecord{stream.NewKeyedRecord(0, m.self.Peer.VM, b)}

	for ctx.Err() == nil {
		wait := announceRetryDelay

		if o, err := m.appendRecords(ctx, own); err == nil {
			m.logger.Info().Str("event", "announced").Int64("offset", o).Msg("this daemon is recorded in the log")
			m.RemoveExpired(ctx)

			wait = RenewInterval/2 + rand.N(RenewInterval) //nolint:gosec,mnd // daemons that start together spread their records
		}

		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}

	return nil
}

// RemoveExpired drops the records of VMs that are gone. One daemon does it; two whose lists differ do no harm, as a daemon that
// lives announces itself again.
func (m *Members) RemoveExpired(ctx context.Context) {
	var names []string
	for _, v := range m.Records() {
		names = append(names, v.Peer.VM)
	}

	if shard.First(m.stream, names) != m.self.Peer.VM {
		return
	}

	var l []stream.KeyedRecord
	for _, v := range m.registry.ExpiredRecords(m.clock()) {
		l = append(l, stream.NewKeyedRecord(0, v.Peer.VM, nil))
	}

	if len(l) == 0 {
		return
	}

	_, err := m.appendRecords(ctx, l)
	m.logger.Info().Str("event", "members_dropped").Int("count", len(l)).Err(err).Msg("records of daemons that are gone were dropped")
}

func (m *Members) appendRecords(ctx context.Context, l []stream.KeyedRecord) (int64, error) {
	x, stop := context.WithTimeout(ctx, announceTimeout)
	defer stop()

	return m.log.Append(x, m.stream, 0, l, stream.AnyOffset)
}
