package balance

import (
	"container/heap"
	"context"
	"strings"
	"sync"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// maxBatchRequests is the number of batch items of a service for which one daemon requests slots concurrently. It is
// enough to have some waiting at every owner. More would cost messages, as jobs have thousands of items.
const maxBatchRequests = 16

// batchSemaphore limits the concurrent slot requests for batch items of one daemon. Waiting items acquire it by
// deadline and then in the order of the items in their job, so that the parts of a job are done one after the other.
type batchSemaphore struct {
	mu      sync.Mutex
	inUse   int
	waiting itemHeap
}

// waitingItem is an item that waits for the semaphore.
type waitingItem struct {
	request  *filter.Request
	acquired chan struct{} // closed when the item has acquired the semaphore
	index    int           // in the heap; -1 after its removal
}

// acquire waits until the item may request a slot or ctx ends. Unless it fails, the caller has to call release.
func (s *batchSemaphore) acquire(ctx context.Context, r *filter.Request) error {
	s.mu.Lock()

	if s.inUse < maxBatchRequests {
		s.inUse++
		s.mu.Unlock()

		return nil
	}

	p := &waitingItem{request: r, acquired: make(chan struct{})}
	heap.Push(&s.waiting, p)
	s.mu.Unlock()

	select {
	case <-p.acquired:
		return nil
	case <-ctx.Done():
	}

	s.mu.Lock()
	queued := p.index >= 0

	if queued {
		heap.Remove(&s.waiting, p.index)
	}
	s.mu.Unlock()

	if !queued { // the item acquired the semaphore at the same time
		s.release()
	}

	return outcome.New(outcome.Cancelled, outcome.NotRun, "the item was cancelled before it got a slot")
}

// release lets the first waiting item acquire the semaphore.
func (s *batchSemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.waiting) == 0 {
		s.inUse--

		return
	}

	close(heap.Pop(&s.waiting).(*waitingItem).acquired) //nolint:errcheck // the heap has no other type
}

// itemHeap implements heap.Interface with the first item to run on top.
type itemHeap []*waitingItem

// Len returns the number of items.
func (h itemHeap) Len() int { return len(h) }

// Less orders by deadline, then by identifier: the shorter one first, so that numbers at its end are in their order.
func (h itemHeap) Less(i, j int) bool {
	a, b := h[i].request, h[j].request
	if c := a.Deadline().Compare(b.Deadline()); c != 0 {
		return c < 0
	}

	if len(a.ID()) != len(b.ID()) {
		return len(a.ID()) < len(b.ID())
	}

	return strings.Compare(a.ID(), b.ID()) < 0
}

// Swap swaps two items.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an item.
func (h *itemHeap) Push(v any) {
	x := v.(*waitingItem) //nolint:errcheck,forcetypeassert // the heap has no other type
	x.index = len(*h)
	*h = append(*h, x)
}

// Pop removes and returns the last item.
func (h *itemHeap) Pop() any {
	x := (*h)[len(*h)-1]
	x.index = -1
	*h = (*h)[:len(*h)-1]

	return x
}
