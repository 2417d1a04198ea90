package integration_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a shutdown that cuts off requests or lets new ones fail.
func TestAllDaemonsRestartedUnderLoad(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 2})

	var failed, sent atomic.Int64

	stop := make(chan struct{})

	var wg sync.WaitGroup

	b := &balancer{deployment: s}

	for i := range 8 {
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}

				sent.Add(1)

				if a := s.sendChat(b.pick(i+k), 30); !a.isComplete(30) {
					failed.Add(1)
					t.Logf("request failed: %v, status %d, %d bytes", a.err, a.status, len(a.body))
				}
			}
		})
	}

	for _, n := range s.daemons {
		n.signal(syscall.SIGTERM)
		<-n.exited
		s.startDaemon(n)
		s.waitReady(n)
	}

	close(stop)
	wg.Wait()

	Convey("When all daemons are restarted one after another under load, no request fails", t, func() {
		So(sent.Load(), ShouldBeGreaterThan, 50)
		So(failed.Load(), ShouldEqual, 0)
	})
}

// balancer chooses daemons that report that they are ready, as the platform's load balancer does. It polls
// them at most every 100 ms, unless none was ready. mu guards the fields below it.
type balancer struct {
	deployment     *deployment
	mu             sync.Mutex
	refreshedAt    time.Time
	readyAddresses []string
}

// pick returns the address of a ready daemon. Consecutive values of i choose the daemons in turn.
func (b *balancer) pick(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()

	if time.Since(b.refreshedAt) > 100*time.Millisecond || len(b.readyAddresses) == 0 {
		b.readyAddresses = nil

		for _, n := range b.deployment.daemons {
			if a, err := http.Get("http://" + n.operatorAddress + "/ready"); err == nil {
				if a.StatusCode == http.StatusOK {
					b.readyAddresses = append(b.readyAddresses, n.callerAddress)
				}

				a.Body.Close()
			}
		}

		b.refreshedAt = time.Now()
	}

	return b.readyAddresses[i%len(b.readyAddresses)]
}
