package balance

import (
	"container/heap"
	"context"
	"strings"
	"sync"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// batchAsking is the number of batch items of a service for which one daemon asks for slots at a time. It is enough to
// have some waiting at every owner; jobs have thousands of items, and each demand costs messages.
const batchAsking = 16

// line orders the batch items of one daemon that want to ask for a slot: by deadline, and the items of a job in their
// order, so that the parts of a job are done one after the other.
type line struct {
	mu     sync.Mutex
	asking int
	items  places
}

// place is an item's place in a line.
type place struct {
	request *filter.Request
	turn    chan struct{}
	index   int // in the heap; -1 once it has left
}

// enter waits for the item's turn. leave follows.
func (l *line) enter(ctx context.Context, r *filter.Request) error {
	l.mu.Lock()

	if l.asking < batchAsking {
		l.asking++
		l.mu.Unlock()

		return nil
	}

	p := &place{request: r, turn: make(chan struct{})}
	heap.Push(&l.items, p)
	l.mu.Unlock()

	select {
	case <-p.turn:
		return nil
	case <-ctx.Done():
	}

	l.mu.Lock()
	gone := p.index >= 0

	if gone {
		heap.Remove(&l.items, p.index)
	}
	l.mu.Unlock()

	if !gone { // its turn came at the same time
		l.leave()
	}

	return outcome.New(outcome.Cancelled, outcome.NotRun, "the item was given up before it got a slot")
}

// leave passes the turn on.
func (l *line) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.items) == 0 {
		l.asking--

		return
	}

	close(heap.Pop(&l.items).(*place).turn) //nolint:errcheck // the heap has nothing else
}

// places is the heap of a line.
type places []*place

// Len returns the number of places.
func (p places) Len() int { return len(p) }

// Less orders by deadline, then by identifier with numbers in their order.
func (p places) Less(i, j int) bool {
	a, b := p[i].request, p[j].request
	if c := a.Deadline().Compare(b.Deadline()); c != 0 {
		return c < 0
	}

	if len(a.ID()) != len(b.ID()) {
		return len(a.ID()) < len(b.ID())
	}

	return strings.Compare(a.ID(), b.ID()) < 0
}

// Swap exchanges two places.
func (p places) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].index, p[j].index = i, j
}

// Push adds a place.
func (p *places) Push(v any) {
	x := v.(*place) //nolint:errcheck,forcetypeassert // the heap has nothing else
	x.index = len(*p)
	*p = append(*p, x)
}

// Pop removes the last place.
func (p *places) Pop() any {
	x := (*p)[len(*p)-1]
	x.index = -1
	*p = (*p)[:len(*p)-1]

	return x
}
