package batches

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/stream"
)

const (
	// defaultExpiryInterval is the shortest time between two searches for expired jobs; a random part of up to as much is
	// added. Daemons thus search at different times, so that most of them find nothing left to drop.
	defaultExpiryInterval = 20 * time.Second
	// expiryTimeout bounds the append of one search.
	expiryTimeout = 5 * time.Second
)

// expireJobs periodically drops the records of expired jobs, until ctx ends. It always returns nil.
func (w *writer) expireJobs(ctx context.Context) error {
	interval := cmp.Or(w.limits.expiryInterval, defaultExpiryInterval)

	for {
		select {
		case <-time.After(interval + rand.N(interval)): //nolint:gosec // spreads the searches of daemons
		case <-ctx.Done():
			return nil
		}

		if !w.partition.consumer.IsLoaded() || len(w.expiredRecords()) == 0 {
			continue
		}

		x, stop := context.WithTimeout(ctx, expiryTimeout)
		records := 0
		err := w.applyChange(x, func(*batch.ResultEncoder) ([]stream.KeyedRecord, error) {
			l := w.expiredRecords()
			records = max(records, len(l))

			return l, nil
		})

		stop()

		w.logger.Info().Str("event", "jobs_expired").Int("part", w.number).Int("records", records).Err(err).
			Msg("attempted to drop the records of expired jobs")
	}
}

// expiredRecords returns the records that drop expired jobs, of as many jobs as fit into one append but at least one. A
// job is dropped as a whole, as the replica forgets it with the first of its records.
func (w *writer) expiredRecords() []stream.KeyedRecord {
	var l []stream.KeyedRecord

	for _, r := range w.partition.replica.EncodeExpiry(time.Now(), w.limits.jobRetention) {
		if len(l) > 0 && appendSize(l)+appendSize(r) > w.limits.maxAppendBytes {
			break
		}

		l = append(l, r...)
	}

	return l
}
