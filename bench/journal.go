package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/platform"
	standin "github.com/agategap/agategap/standin/store"
	"github.com/agategap/agategap/store"
	"github.com/agategap/agategap/wire"
)

const (
	// journalMinItemsPerSecond and journalMaxAppendsPerSecond are the bounds of the design: accepted items and appends
	// a second. The log's stand-in takes no more appends.
	journalMinItemsPerSecond   = 13_900
	journalMaxAppendsPerSecond = 300

	journalPartitions = 16
	// journalAppendRate is the rate of appends a second over all partitions. It is a little below the rate of the log,
	// as the log refuses appends above its rate, which are then retried.
	journalAppendRate = 288
	journalDuration   = 2 * time.Second
	journalWarmUp     = 500 * time.Millisecond
	itemBytes         = 200
)

// JournalGroupSizes returns the group sizes that Journal measures, in records.
func JournalGroupSizes() []int { return []int{1, 10, 100, 1000, 4000} }

// JournalFigure is the measurement of one group size.
type JournalFigure struct {
	groupSize int
	items     int64
	appends   int64
	elapsed   time.Duration
}

// GroupSize returns the maximum number of records in a group.
func (f JournalFigure) GroupSize() int { return f.groupSize }

// Items returns the number of accepted items that the log confirmed and the store replayed.
func (f JournalFigure) Items() int64 { return f.items }

// Appends returns the number of appends that took effect at the log.
func (f JournalFigure) Appends() int64 { return f.appends }

// Elapsed returns the duration of the measurement.
func (f JournalFigure) Elapsed() time.Duration { return f.elapsed }

// ItemsPerSecond returns the accepted items a second.
func (f JournalFigure) ItemsPerSecond() float64 { return float64(f.items) / f.elapsed.Seconds() }

// AppendsPerSecond returns the appends a second.
func (f JournalFigure) AppendsPerSecond() float64 { return float64(f.appends) / f.elapsed.Seconds() }

// Met reports whether the bounds of the design are met.
func (f JournalFigure) Met() bool {
	return f.ItemsPerSecond() >= journalMinItemsPerSecond && f.AppendsPerSecond() <= journalMaxAppendsPerSecond
}

// MeasureGroupCommit measures group commit for each group size: the store of one daemon accepts items of one record each, as fast
// as the log confirms them. The log is a stand-in on loopback that takes 300 appends a second. The bodies of the items
// are drawn with seed.
func MeasureGroupCommit(ctx context.Context, seed uint64) ([]JournalFigure, error) {
	var l []JournalFigure

	for _, n := range JournalGroupSizes() {
		f, err := measureGroup(ctx, seed, n)
		if err != nil {
			return l, fmt.Errorf("group size %d: %w", n, err)
		}

		l = append(l, f)
	}

	return l, nil
}

func measureGroup(ctx context.Context, seed uint64, groupSize int) (JournalFigure, error) {
	p := standin.New(standin.Options{AppendsPerSecond: journalMaxAppendsPerSecond, Seed: seed})

	address, stop, err := serve(ctx, p.Handler())
	if err != nil {
		return JournalFigure{}, err
	}
	defer stop()

	limits := appender.NewLimits(groupSize, 0, journalPartitions*time.Second/journalAppendRate)
	s := store.New(platform.NewStreams(platform.NewStore(address), 0, 0), wire.GroupCodec{}, store.NewOptions("bench/1", journalPartitions, limits, time.Now))

	c, cancel := context.WithCancel(ctx)

	var wg sync.WaitGroup

	defer func() {
		cancel()
		wg.Wait()
		s.Stop()
		_ = s.Wait()
	}()

	for i := range journalPartitions {
		r := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // repeatable bodies

		wg.Go(func() { enqueueItems(c, s, i, groupSize, r) })
	}

	pause(ctx, journalWarmUp)

	items, appends, start := countAccepted(s), p.Appends(), time.Now()

	pause(ctx, journalDuration)

	f := JournalFigure{groupSize: groupSize, items: countAccepted(s) - items, appends: p.Appends() - appends, elapsed: time.Since(start)}

	return f, ctx.Err()
}

// enqueueItems keeps about two groups of items queued for a partition until ctx ends. It waits for a change of the
// partition's replica between batches of items.
func enqueueItems(ctx context.Context, s *store.Store, partition, groupSize int, r *rand.Rand) {
	account := fmt.Sprint("account-", partition)

	for n := int64(0); ctx.Err() == nil; {
		changed := s.Changed(partition)

		for n < int64(s.Replica(partition).Len()+2*groupSize) {
			b := make([]byte, itemBytes)
			for i := range b {
				b[i] = "abcdefghijklmnopqrstuvwxyz      "[r.IntN(32)]
			}

			s.Enqueue(partition, journal.Record{Accept: &journal.AcceptRecord{
				Account: account, Key: fmt.Sprint(n), Service: "signwriter", Idempotent: true, Async: true, Body: b,
			}})
			n++
		}

		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// countAccepted returns the number of replayed items over all partitions.
func countAccepted(s *store.Store) int64 {
	n := 0
	for i := range journalPartitions {
		n += s.Replica(i).Len()
	}

	return int64(n)
}

// serve serves a handler on loopback and returns its address and a function that closes the server.
func serve(ctx context.Context, h http.Handler) (string, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}

	v := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}

	go func() { _ = v.Serve(l) }()

	return l.Addr().String(), func() { _ = v.Close() }, nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
