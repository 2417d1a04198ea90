package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/shard"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

const (
	// announceRetryDelay is the delay before the next attempt if the log did not accept the record of this daemon.
	announceRetryDelay = 300 * time.Millisecond
	// announceTimeout bounds one append to the log, also that of removals.
	announceTimeout = 5 * time.Second
)

// Log appends to a keyed stream of the platform's log.
type Log interface {
	// Append appends records, all or none, and returns the offset of the first.
	Append(ctx context.Context, name string, part int, records []stream.KeyedRecord, at int64) (int64, error)
}

// Members announces this daemon in the platform's log and keeps the records of all daemons. It is the sink of a
// consumer of the log stream with these records.
type Members struct {
	log      Log
	stream   string
	self     Record
	addPeer  func(p Peer)
	clock    func() time.Time
	logger   zerolog.Logger
	registry Registry

	mu        sync.Mutex
	announced int64         // offset after the last record of this daemon that the log confirmed; 0 for none
	replaced  chan struct{} // holds a value if that record was replaced or removed
}

// NewMembers returns a controller of the records in a log stream. self is the record of this daemon. addPeer is called
// with the daemon of each record that is read.
func NewMembers(l Log, stream string, self Record, addPeer func(p Peer), clock func() time.Time, z zerolog.Logger) *Members {
	return &Members{
		log: l, stream: stream, self: self, addPeer: addPeer, clock: clock, logger: z, replaced: make(chan struct{}, 1),
	}
}

// Records returns the records of all daemons that have not expired, sorted by VM.
func (m *Members) Records() []Record { return m.registry.Records(m.clock()) }

// SetLogDown tells the registry whether the log can be read.
func (m *Members) SetLogDown(down bool, now time.Time) { m.registry.SetLogDown(down, now) }

// Reset replaces all records by the given ones.
func (m *Members) Reset(l []stream.KeyedRecord, end int64) {
	isListed := map[string]bool{}

	for _, k := range l {
		isListed[k.Key()] = true

		m.Apply(k)
	}

	for _, v := range m.Records() {
		if !isListed[v.Peer.VM] {
			m.registry.Remove(v.Peer.VM)
		}
	}

	if !isListed[m.self.Peer.VM] {
		m.noteReplaced(end - 1)
	}
}

// Apply adds or replaces the record of the daemon that the key names; an empty value removes it. A malformed record is
// logged and ignored.
func (m *Members) Apply(k stream.KeyedRecord) {
	if k.Key() == "" {
		return
	}

	if len(k.Value()) == 0 {
		m.registry.Remove(k.Key())

		if k.Key() == m.self.Peer.VM {
			m.noteReplaced(k.Offset())
		}

		return
	}

	var v Record
	if err := wire.Unmarshal(k.Value(), &v); err != nil || v.Peer.VM != k.Key() {
		m.logger.Warn().Str("event", "member_rejected").Str("key", k.Key()).Err(err).Msg("ignoring a record that does not describe the daemon of its key")

		return
	}

	m.registry.Put(v, m.clock())
	m.addPeer(v.Peer)

	if v.Peer.VM == m.self.Peer.VM && v.Peer.Start < m.self.Peer.Start {
		m.noteReplaced(k.Offset())
	}
}

// noteReplaced makes Run announce this daemon again at once if the record at an offset, which is of an earlier incarnation
// or a removal, follows the announcement of this incarnation. The log may execute such an append late, and daemons that
// start afterwards would not find this one.
func (m *Members) noteReplaced(offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.announced == 0 || offset < m.announced {
		return
	}

	select {
	case m.replaced <- struct{}{}:
	default:
	}
}

func (m *Members) setAnnounced(offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.announced = offset + 1
}

// Run announces this daemon in the log until ctx ends, and removes expired records after each announcement.
func (m *Members) Run(ctx context.Context) error {
	b, err := wire.Marshal(m.self)
	if err != nil {
		return err
	}

	self := []stream.KeyedRecord{stream.NewKeyedRecord(0, m.self.Peer.VM, b)}

	for ctx.Err() == nil {
		wait := announceRetryDelay

		if o, err := m.appendRecords(ctx, self); err == nil {
			m.setAnnounced(o)
			m.logger.Info().Str("event", "announced").Int64("offset", o).Msg("the log has the record of this daemon")
			m.RemoveExpired(ctx)

			wait = RenewInterval/2 + rand.N(RenewInterval) //nolint:gosec,mnd // spreads daemons that start together
		}

		select {
		case <-time.After(wait):
		case <-m.replaced:
		case <-ctx.Done():
		}
	}

	return nil
}

// RemoveExpired removes expired records from the log. It does so only at the first-ranked of the daemons with a record.
// If two daemons remove records because their registries differ, no harm is done: a running daemon announces itself
// again.
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
	m.logger.Info().Str("event", "members_dropped").Int("count", len(l)).Err(err).Msg("removed expired records of daemons from the log")
}

func (m *Members) appendRecords(ctx context.Context, l []stream.KeyedRecord) (int64, error) {
	x, stop := context.WithTimeout(ctx, announceTimeout)
	defer stop()

	return m.log.Append(x, m.stream, 0, l, stream.AnyOffset)
}
