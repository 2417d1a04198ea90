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

// run is an item that this daemon runs or is about to.
type run struct {
	job    string
	item   batch.Item
	cancel context.CancelFunc
	active bool
	done   bool // has a result that is listed
	ended  bool // has a result, which may not be listed yet
	given  bool // the result is that the item was given up
	why    string

	mu    sync.Mutex
	text  []byte
	chain uint64 // tells the events that this daemon had of the item from those of other runs
	onto  uint64 // the run that they go on from
	base  int    // the event of that run behind which they go on
	ends  []mark // where events of the text end, from the last record of progress on
	last  int
	fails int
	delay time.Duration
	next  time.Time
}

// goOn takes over what the log has of an item, if that is more.
func (u *run) goOn(p batch.Progress) {
	u.mu.Lock()
	defer u.mu.Unlock()

	if p.Last() > u.last {
		u.text, u.last = append([]byte(nil), p.Text()...), p.Last()
		u.chain, u.onto, u.base = rand.Uint64(), p.Chain(), p.Last()
		u.ends = []mark{{last: u.last, bytes: len(u.text)}}
	}
}

// itemSink collects the text of an item over all its runs.
type itemSink struct {
	run    *run
	status int
	pace   *pace
	start  time.Time // of the event read last
}

var errNoEvents = errors.New("the target answered an item without events")

// Emit takes an event.
func (s *itemSink) Emit(e filter.Event) error {
	u := s.run

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

		if u.last > 0 {
			u.text = append(u.text, '\n')
		}

		u.text = append(u.text, e.Text()...)
		u.last = e.Index()
		u.ends = append(u.ends, mark{last: u.last, bytes: len(u.text)})

		now := time.Now()
		if u.last > 1 {
			s.pace.event(now.Sub(s.start))
		}

		s.start = now
	}

	return nil
}
