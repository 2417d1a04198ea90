package balance

import (
	"container/heap"
	"context"
	"strings"
	"sync"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// maxBatchRequests is the number of batch items of a service for which one daemon asks for slots at a time. It is enough to
// have some waiting at every owner; jobs have thousands of items, and each demand costs messages.
const maxBatchRequests = 16

// batchSemaphore orders the batch items of one daemon that want to ask for a slot: by deadline, and the items of a job in their
// order, so that the parts of a job are done one after the other.
type batchSemaphore struct {
	mu     sync.Mutex
	inUse int
	waiting  itemHeap
}

// waitingItem is an item's place in a line.
type waitingItem struct {
	request *filter.Request
	acquired    chan struct{}
	index   int // in the heap; -1 once it has left
}

// acquire waits for the item's turn. leave follows.
func (l *batchSemaphore) acquire(ctx context.Context, r *filter.Request) error {
	l.mu.Lock()

	if l.inUse < maxBatchRequests {
		l.inUse++
		l.mu.Unlock()

		return nil
	}

	p := &waitingItem{request: r, acquired: make(chan struct{})}
	heap.Push(&l.waiting, p)
	l.mu.Unlock()

	select {
	case <-p.acquired:
		return nil
	case <-ctx.Done():
	}

	l.mu.Lock()
	gone := p.index >= 0

	if gone {
		heap.Remove(&l.waiting, p.index)
	}
	l.mu.Unlock()

	if !gone { // its turn came at the same time
		l.release()
	}

	return outcome.New(outcome.Cancelled, outcome.NotRun, "the item was given up before it got a slot")
}

// release passes the turn on.
func (l *batchSemaphore) release() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.waiting) == 0 {
		l.inUse--

		return
	}

	close(heap.Pop(&l.waiting).(*waitingItem).acquired) //nolint:errcheck // the heap has nothing else
}

// itemHeap is the heap of a line.
type itemHeap []*waitingItem

// Len returns the number of places.
func (p itemHeap) Len() int { return len(p) }

// Less orders by deadline, then by identifier with numbers in their order.
func (p itemHeap) Less(i, j int) bool {
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
func (p itemHeap) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].index, p[j].index = i, j
}

// Push adds a place.
func (p *itemHeap) Push(v any) {
	x := v.(*waitingItem) //nolint:errcheck,forcetypeassert // the heap has nothing else
	x.index = len(*p)
	*p = append(*p, x)
}

// Pop removes the last place.
func (p *itemHeap) Pop() any {
	x := (*p)[len(*p)-1]
	x.index = -1
	*p = (*p)[:len(*p)-1]

	return x
}
