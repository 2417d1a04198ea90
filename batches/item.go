package batches

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/internal/batch/places"
)

// runningItem is the state of an item on the daemon that runs its job, over all attempts of the item there. Runner.mu
// guards the fields before mu, retryDelay and retryAt.
type runningItem struct {
	jobID      string
	item       batch.Item
	cancel     context.CancelFunc // ends the current attempt
	active     bool               // an attempt is in progress or the result is being published
	published  bool               // the result is published
	finished   bool               // there is a result, which may not be published yet
	failed     bool               // the result is that the item failed
	reason     string             // of the failure
	finishedAt time.Time          // when there was a result
	place      places.Place       // while an attempt is in progress

	startedAfter int  // last event before the current attempt
	unproductive bool // the last attempt received no event

	wait waitState

	mu             sync.Mutex
	text           []byte     // data of the events so far, separated by line feeds
	runID          uint64     // run of the events that this daemon receives; random
	parentRunID    uint64     // run that it continues; 0 for none
	parentEvent    int        // last event of the parent run before it
	eventEnds      []eventEnd // ends of events in text, from the last saved event on
	lastEvent      int
	began          bool // an attempt got more than filter.MaxCrashEvents events
	failedAttempts int
	retryDelay     time.Duration // before the next attempt
	retryAt        time.Time     // earliest start of the next attempt
}

// resumeFrom takes over progress that is saved in the log if it has more events, and starts a new run that continues
// it.
func (u *runningItem) resumeFrom(p batch.Progress) {
	u.mu.Lock()
	defer u.mu.Unlock()

	if p.LastEvent() > u.lastEvent {
		u.text, u.lastEvent = append([]byte(nil), p.Text()...), p.LastEvent()
		u.runID, u.parentRunID, u.parentEvent = rand.Uint64(), p.RunID(), p.LastEvent()
		u.eventEnds = []eventEnd{{event: u.lastEvent, offset: len(u.text)}}
	}
}

// hasBegun reports whether the response to an attempt here got beyond its beginning.
func (u *runningItem) hasBegun() bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.began
}

// discardEvents discards the events of the item, so that its next attempt starts from the first one. The caller holds
// mu.
func (u *runningItem) discardEvents() {
	u.text, u.lastEvent, u.eventEnds, u.runID, u.parentRunID, u.parentEvent = nil, 0, nil, rand.Uint64(), 0, 0
}

// maxItemTextBytes limits the text of an item. Results above a megabyte cannot be listed, and a faulty target may send
// events without end.
const maxItemTextBytes = 1 << 20

// itemSink adds the events of one attempt to the text of an item.
type itemSink struct {
	item        *runningItem
	status      int // HTTP status of the response
	runTime     *runTimeEstimator
	events      int       // of the attempt
	lastEventAt time.Time // arrival of the last event, or start of the attempt
}

var (
	errNoEvents    = errors.New("the target sent data of an item without an event number")
	errTextTooLong = errors.New("the text of an item is too long")
)

// Emit takes the head or a chunk of a response. It ignores the chunks of a response whose status is not 200.
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

		if len(u.text)+len(e.Text()) > maxItemTextBytes {
			u.discardEvents()

			return errTextTooLong
		}

		if u.lastEvent > 0 {
			u.text = append(u.text, '\n')
		}

		u.text = append(u.text, e.Text()...)
		u.lastEvent = e.Index()
		s.events++
		u.began = u.began || s.events > filter.MaxCrashEvents
		u.eventEnds = append(u.eventEnds, eventEnd{event: u.lastEvent, offset: len(u.text)})

		now := time.Now()
		if u.lastEvent > 1 {
			s.runTime.observeInterval(now.Sub(s.lastEventAt))
		}

		s.lastEventAt = now
	}

	return nil
}
