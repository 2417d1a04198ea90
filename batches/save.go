package batches

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/batch"
)

const (
	// saveEvery is the time between two records of the progress of the items that run here. An item runs for several
	// seconds, so that a lost daemon costs a small part of its work.
	saveEvery = 1500 * time.Millisecond
	// saveWithin bounds one record. The next one makes up for it.
	saveWithin = time.Second
)

// mark is the end of an event within the text of an item.
type mark struct {
	last  int
	bytes int
}

// unsaved returns the events behind a number, if the log has those before it of this run or of the one that it goes on
// from.
func (u *run) unsaved(from int, onto uint64) (batch.Events, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	// What the log has behind the event at which this run was asked to go on is of the other run.
	if u.last <= from || onto != u.chain && (onto != u.onto || from != u.base) {
		return batch.Events{}, false
	}

	start := 0

	if from > 0 {
		i := slices.IndexFunc(u.ends, func(m mark) bool { return m.last == from })
		if i < 0 {
			return batch.Events{}, false
		}

		start = u.ends[i].bytes
		u.ends = u.ends[i:]
	}

	return batch.NewEvents(string(u.text[start:]), from, u.last, u.chain, onto), true
}

// save records the progress of the items that run here, until ctx ends.
func (r *Runner) save(ctx context.Context) {
	t := time.NewTicker(saveEvery)
	defer t.Stop()

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}

		var wg sync.WaitGroup

		for _, u := range r.unended() {
			wg.Go(func() { r.saveItem(ctx, u) })
		}

		wg.Wait()
	}
}

// unended returns the items that have no result yet.
func (r *Runner) unended() []*run {
	r.mu.Lock()
	defer r.mu.Unlock()

	var l []*run

	for _, u := range r.running {
		if !u.ended {
			l = append(l, u)
		}
	}

	return l
}

func (r *Runner) saveItem(ctx context.Context, u *run) {
	from, onto := r.batches.Saved(u.job, u.item.ID())

	e, ok := u.unsaved(from, onto)
	if !ok {
		return
	}

	x, stop := context.WithTimeout(ctx, saveWithin)
	defer stop()

	if err := r.batches.Save(x, u.job, u.item.ID(), e); err != nil {
		r.logger.Debug().Str("event", "progress_not_saved").Str("job", u.job).Str("item", u.item.ID()).Err(err).
			Msg("the progress of an item is in memory only")
	}
}
