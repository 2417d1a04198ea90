package batches

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/filter"
)

// runningItem is an item that this daemon runs or is about to.
type runningItem struct {
	jobID    string
	item   batch.Item
	cancel context.CancelFunc
	active bool
	published   bool // has a result that is listed
	finished  bool // has a result, which may not be listed yet
	failed  bool // the result is that the item was given up
	reason    string

	mu    sync.Mutex
	text  []byte
	runID uint64 // tells the events that this daemon had of the item from those of other runs
	parentRunID  uint64 // the run that they go on from
	parentEvent  int    // the event of that run behind which they go on
	eventEnds  []eventEnd // where events of the text end, from the last record of progress on
	lastEvent  int
	failedAttempts int
	retryDelay time.Duration
	retryAt  time.Time
}

// resumeFrom takes over what the log has of an item, if that is more.
func (u *runningItem) resumeFrom(p batch.Progress) {
	u.mu.Lock()
	defer u.mu.Unlock()

	if p.LastEvent() > u.lastEvent {
		u.text, u.lastEvent = append([]byte(nil), p.Text()...), p.LastEvent()
		u.runID, u.parentRunID, u.parentEvent = rand.Uint64(), p.RunID(), p.LastEvent()
		u.eventEnds = []eventEnd{{event: u.lastEvent, offset: len(u.text)}}
	}
}

// itemSink collects the text of an item over all its runs.
type itemSink struct {
	item    *runningItem
	status int
	runTime   *runTimeEstimator
	lastEventAt  time.Time // of the event read last
}

var errNoEvents = errors.New("the target answered an item without events")

// Emit takes an event.
func (s *itemSink) Emit(e filter.Event) error {
	u := s.item

	switch e.Kind() {
	case filter.Head:
		s.status = e.Status()
	case filter.Chunk:
		if s.status != statusOK {
			return nil
		}

		if e.Index() <= 0 {
			return errNoEvents
		}

		u.mu.Lock()
		defer u.mu.Unlock()

		if u.lastEvent > 0 {
			u.text = append(u.text, '\n')
		}

		u.text = append(u.text, e.Text()...)
		u.lastEvent = e.Index()
		u.eventEnds = append(u.eventEnds, eventEnd{event: u.lastEvent, offset: len(u.text)})

		now := time.Now()
		if u.lastEvent > 1 {
			s.runTime.observeInterval(now.Sub(s.lastEventAt))
		}

		s.lastEventAt = now
	}

	return nil
}
