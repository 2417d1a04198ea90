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

// Guards against a graceful shutdown that cuts off requests.
func TestEveryDaemonRestartedUnderLoad(t *testing.T) {
	s := newSystem(t, choice{daemons: 2})

	var failed, sent atomic.Int64

	stop := make(chan struct{})

	var wg sync.WaitGroup

	b := &balancer{system: s}

	for i := range 8 {
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}

				sent.Add(1)

				if a := s.chat(b.pick(i+k), 30); !a.whole(30) {
					failed.Add(1)
					t.Logf("request failed: %v, status %d, %d bytes", a.err, a.status, len(a.body))
				}
			}
		})
	}

	for _, n := range s.nodes {
		n.signal(syscall.SIGTERM)
		<-n.done
		s.startNode(n)
		s.ready(n)
	}

	close(stop)
	wg.Wait()

	Convey("When every daemon is restarted in turn under load, no request fails", t, func() {
		So(sent.Load(), ShouldBeGreaterThan, 50)
		So(failed.Load(), ShouldEqual, 0)
	})
}

// balancer picks daemons that say they are ready, as the platform's balancer does. It looks every 100 ms.
type balancer struct {
	system *system
	mu     sync.Mutex
	at     time.Time
	ready  []string
}

func (b *balancer) pick(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()

	if time.Since(b.at) > 100*time.Millisecond || len(b.ready) == 0 {
		b.ready = nil

		for _, n := range b.system.nodes {
			if a, err := http.Get("http://" + n.operator + "/ready"); err == nil {
				if a.StatusCode == http.StatusOK {
					b.ready = append(b.ready, n.caller)
				}

				a.Body.Close()
			}
		}

		b.at = time.Now()
	}

	return b.ready[i%len(b.ready)]
}
