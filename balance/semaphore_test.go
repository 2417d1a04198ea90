package balance_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/balance"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/sched"
)

// countingGranter grants a slot for each value from slots, and records the greatest number of waiting requests.
type countingGranter struct {
	mu         sync.Mutex
	waiting    int
	maxWaiting int
	slots      chan struct{}
}

func (c *countingGranter) Load(string) sched.Load { return sched.Load{} }

func (c *countingGranter) Acquire(ctx context.Context, _ string, r sched.SlotRequest) (balance.SlotLease, error) {
	if r.MaxWait() < 0 {
		return nil, outcome.New(outcome.Overloaded, outcome.NotRun, "busy")
	}

	c.add(1)
	defer c.add(-1)

	select {
	case <-c.slots:
		return fakeLease{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *countingGranter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.waiting += n
	c.maxWaiting = max(c.maxWaiting, c.waiting)
}

// Guards against requesting slots for the items of many jobs all at once, which starved online requests and made all
// items progress together, so that no part of a job ended.
func TestBatchItemsRequestSlotsInOrder(t *testing.T) {
	Convey("Given the items of a job that arrive out of order", t, func() {
		g := &countingGranter{slots: make(chan struct{})}
		p := balance.New(balance.Owner{}, g, fixedLimits{}, "vm", time.Now, newRandom())
		p.SetLocal("m", newTargets("t", 2))

		const items = 200

		ended := make(chan int, items)
		deadline := time.Now().Add(time.Hour)

		for i := items - 1; i >= 0; i-- {
			go func() {
				r := filter.NewBatchRequest(
					filter.Input{ID: fmt.Sprintf("job-%d", i), Service: "m"}, filter.Account{}, filter.Service{}, deadline)
				if s, err := p.Acquire(context.Background(), r, nil); err == nil {
					s.Release(fastObservation(true))
					ended <- i
				}
			}()
		}

		time.Sleep(100 * time.Millisecond)

		n := make([]int, 0, items)

		for range items {
			g.slots <- struct{}{}

			n = append(n, <-ended)
		}

		So(g.maxWaiting, ShouldBeLessThanOrEqualTo, 16)

		Convey("they get their slots in the order of the job, except those that request one concurrently", func() {
			for i, v := range n {
				if v > i+16 && i >= 16 {
					t.Fatalf("item %d got a slot as number %d", v, i)
				}
			}
		})
		Convey("an item is removed from the semaphore when its context ends", func() {
			c, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer stop()

			r := filter.NewBatchRequest(filter.Input{ID: "job-x", Service: "m"}, filter.Account{}, filter.Service{}, deadline)
			_, err := p.Acquire(c, r, nil)
			So(err, ShouldNotBeNil)
		})
	})
}
