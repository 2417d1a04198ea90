package batches

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/batch"
)

const (
	// saveInterval is the period at which the progress of the items that run here is saved. An item runs for several
	// seconds, so that the loss of a daemon costs a small part of its work.
	saveInterval = 1500 * time.Millisecond
	// saveTimeout bounds saving the progress of one item. If it fails, the next save includes the same events.
	saveTimeout = time.Second
)

// eventEnd is the end of an event in the text of an item.
type eventEnd struct {
	event  int // number of the event
	offset int // in bytes
}

// unsavedEvents returns the events after savedEvent, the last event of the item in the log, which belongs to run
// savedRunID. It returns false if there are none, or if this run does not continue from that event.
func (u *runningItem) unsavedEvents(savedEvent int, savedRunID uint64) (batch.Events, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	// Events that the parent run saved after parentEvent are not part of this run, so this one cannot follow them.
	if u.lastEvent <= savedEvent || savedRunID != u.runID && (savedRunID != u.parentRunID || savedEvent != u.parentEvent) {
		return batch.Events{}, false
	}

	start := 0

	if savedEvent > 0 {
		i := slices.IndexFunc(u.eventEnds, func(m eventEnd) bool { return m.event == savedEvent })
		if i < 0 {
			return batch.Events{}, false
		}

		start = u.eventEnds[i].offset
		u.eventEnds = u.eventEnds[i:]
	}

	return batch.NewEvents(string(u.text[start:]), savedEvent, u.lastEvent, u.runID, savedRunID), true
}

// saveProgress periodically saves the progress of the items that run here, until ctx ends.
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

// unfinishedItems returns the items on this daemon that have no result yet.
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
	savedEvent, savedRunID := r.batches.SavedProgress(u.jobID, u.item.ID())

	e, ok := u.unsavedEvents(savedEvent, savedRunID)
	if !ok {
		return
	}

	x, stop := context.WithTimeout(ctx, saveTimeout)
	defer stop()

	if err := r.batches.SaveProgress(x, u.jobID, u.item.ID(), e); err != nil {
		r.logger.Debug().Str("event", "progress_not_saved").Str("job", u.jobID).Str("item", u.item.ID()).Err(err).
			Msg("progress of an item was not saved; it is in memory only")
	}
}
