package batches

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/batch"
)

const (
	// saveInterval is the time between two records of the progress of the items that run here. An item runs for several
	// seconds, so that a lost daemon costs a small part of its work.
	saveInterval = 1500 * time.Millisecond
	// saveTimeout bounds one record. The next one makes up for it.
	saveTimeout = time.Second
)

// eventEnd is the end of an event within the text of an item.
type eventEnd struct {
	event  int
	offset int
}

// unsavedEvents returns the events behind a number, if the log has those before it of this run or of the one that it goes on
// from.
func (u *runningItem) unsavedEvents(from int, onto uint64) (batch.Events, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	// What the log has behind the event at which this run was asked to go on is of the other run.
	if u.lastEvent <= from || onto != u.runID && (onto != u.parentRunID || from != u.parentEvent) {
		return batch.Events{}, false
	}

	start := 0

	if from > 0 {
		i := slices.IndexFunc(u.eventEnds, func(m eventEnd) bool { return m.event == from })
		if i < 0 {
			return batch.Events{}, false
		}

		start = u.eventEnds[i].offset
		u.eventEnds = u.eventEnds[i:]
	}

	return batch.NewEvents(string(u.text[start:]), from, u.lastEvent, u.runID, onto), true
}

// saveProgress records the progress of the items that run here, until ctx ends.
func (r *Runner) saveProgress(ctx context.Context) {
	t := time.NewTicker(saveInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}

		var wg sync.WaitGroup

		for _, u := range r.unfinishedItems() {
			wg.Go(func() { r.saveItemProgress(ctx, u) })
		}

		wg.Wait()
	}
}

// unfinishedItems returns the items that have no result yet.
func (r *Runner) unfinishedItems() []*runningItem {
	r.mu.Lock()
	defer r.mu.Unlock()

	var l []*runningItem

	for _, u := range r.items {
		if !u.finished {
			l = append(l, u)
		}
	}

	return l
}

func (r *Runner) saveItemProgress(ctx context.Context, u *runningItem) {
	from, onto := r.batches.SavedProgress(u.jobID, u.item.ID())

	e, ok := u.unsavedEvents(from, onto)
	if !ok {
		return
	}

	x, stop := context.WithTimeout(ctx, saveTimeout)
	defer stop()

	if err := r.batches.SaveProgress(x, u.jobID, u.item.ID(), e); err != nil {
		r.logger.Debug().Str("event", "progress_not_saved").Str("job", u.jobID).Str("item", u.item.ID()).Err(err).
			Msg("the progress of an item is in memory only")
	}
}
