package controller_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/balance"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/sched"
	"github.com/agategap/agategap/shard"
)

// fakeDomain is a failure domain whose daemons call each other without a network.
type fakeDomain struct {
	mu           sync.Mutex
	slots        map[string]*controller.Slots // by address, which is the name of the VM
	peers        map[string][]string          // the daemons that each daemon sees
	unresponsive map[string]bool              // not used
	killed       map[string]chan struct{}     // by address; closed once the daemon is killed
}

func startDomain(t *testing.T, vms ...string) *fakeDomain {
	t.Helper()

	d := &fakeDomain{
		slots: map[string]*controller.Slots{}, peers: map[string][]string{}, unresponsive: map[string]bool{}, killed: map[string]chan struct{}{},
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)

	for _, n := range vms {
		d.peers[n] = vms
		d.killed[n] = make(chan struct{})
		s := controller.NewSlots(controller.NewPeer(n, n, "d", "r"), domainView{d, n}, d, fixedSlotSettings{}, time.Now, false)
		d.slots[n] = s

		go func() { _ = s.Run(ctx) }()
	}

	return d
}

// kill makes calls to a daemon fail, including those in flight.
func (d *fakeDomain) kill(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	close(d.killed[vm])
}

func (d *fakeDomain) setPeers(vm string, peers ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.peers[vm] = peers
}

var errConnection = errors.New("the connection broke")

func (d *fakeDomain) Call(ctx context.Context, address, method string, args, reply any) error {
	d.mu.Lock()
	s, killed := d.slots[address].Service(), d.killed[address]
	d.mu.Unlock()

	done := make(chan error, 1)

	go func() {
		switch a := args.(type) {
		case sched.AcquireArgs:
			done <- s.Acquire(a, reply.(*sched.AcquireReply))
		case sched.RenewArgs:
			done <- s.Renew(a, reply.(*sched.RenewReply))
		case sched.ReleaseArgs:
			done <- s.Release(a, reply.(*sched.ReleaseReply))
		}
	}()

	select {
	case <-killed:
		return errConnection
	default:
	}

	select {
	case err := <-done:
		return err
	case <-killed:
		return errConnection
	case <-ctx.Done():
		return ctx.Err()
	}
}

type domainView struct {
	domain *fakeDomain
	vm     string
}

func (v domainView) TargetDomain(string) (string, bool) { return "d", true }

func (v domainView) Peers() []controller.Peer {
	v.domain.mu.Lock()
	defer v.domain.mu.Unlock()

	var l []controller.Peer
	for _, n := range v.domain.peers[v.vm] {
		l = append(l, controller.NewPeer(n, n, "d", "r"))
	}

	return l
}

type fixedSlotSettings struct{}

func (fixedSlotSettings) AtRiskShare() float64 { return 0 }

// requestFactory creates slot requests with unique identifiers.
type requestFactory struct{ lastID int }

func (d *requestFactory) newRequest(vm string, c sched.Class, account string) sched.SlotRequest {
	d.lastID++

	return sched.NewSlotRequest(sched.LeaseID(fmt.Sprintf("%s/%d", vm, d.lastID)), vm, account, c, time.Now().Add(5*time.Second))
}

// fillSlots acquires slots until a request is rejected because it would have to wait, and returns their leases.
func fillSlots(s *controller.Slots, vm string, n *requestFactory, c sched.Class) []balance.SlotLease {
	var l []balance.SlotLease

	for {
		p, err := s.Acquire(context.Background(), "target", n.newRequest(vm, c, "a").WithMaxWait(-1))
		if err != nil {
			return l
		}

		l = append(l, p)
	}
}

// ownerAndOther returns the slot owner of the target among two daemons, and the other daemon.
func ownerAndOther(vms ...string) (owner, other string) {
	r := shard.Rank("target", vms)

	return r[0], r[1]
}

// Guards against a burst of online requests that waits for batch work of another daemon to end.
func TestOnlineBurstPreemptsRemoteBatchWork(t *testing.T) {
	Convey("Given batch work of another daemon in every slot of the target", t, func() {
		d := startDomain(t, "vm-1", "vm-2")
		owner, other := ownerAndOther("vm-1", "vm-2")

		var n requestFactory

		begin := time.Now()
		held := fillSlots(d.slots[other], other, &n, sched.Batch)
		So(len(held), ShouldBeGreaterThan, 4)
		So(time.Since(begin), ShouldBeLessThan, 2*time.Second) // a request that does not wait is decided at once

		for _, p := range held {
			go func() {
				<-p.Preempted()
				p.Release(sched.Observation{})
			}()
		}

		start := time.Now()

		for range 3 {
			_, err := d.slots[owner].Acquire(context.Background(), "target", n.newRequest(owner, sched.Online, "b"))
			So(err, ShouldBeNil)
		}

		So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
		So(d.slots[owner].Load("target").Batch(), ShouldEqual, len(held)-3)
	})
}

// Guards against requests that fail or wait forever when the owner fails while slots are granted and requests wait.
func TestOwnerFailure(t *testing.T) {
	Convey("Given an owner that granted every slot and fails while a request waits", t, func() {
		d := startDomain(t, "vm-1", "vm-2")
		owner, other := ownerAndOther("vm-1", "vm-2")

		var n requestFactory

		held := fillSlots(d.slots[other], other, &n, sched.Online)
		got := make(chan error, 1)

		go func() {
			_, err := d.slots[other].Acquire(context.Background(), "target", sched.NewSlotRequest("waiting", other, "a", sched.Online, time.Now().Add(5*time.Second)))
			got <- err
		}()

		time.Sleep(50 * time.Millisecond)
		d.kill(owner)

		Convey("the request gets one of the few slots that the daemon grants itself", func() {
			So(<-got, ShouldBeNil)
			So(len(fillSlots(d.slots[other], other, &n, sched.Online)), ShouldBeLessThanOrEqualTo, 2)
		})
		Convey("once the old owner is no longer a peer, the new owner knows the slots in use", func() {
			d.setPeers(other, other)
			time.Sleep(500 * time.Millisecond)
			So(d.slots[other].Load("target").Online(), ShouldBeGreaterThanOrEqualTo, len(held))

			for _, p := range held {
				p.Release(sched.Observation{})
			}

			So(d.slots[other].Load("target").Online(), ShouldBeLessThanOrEqualTo, 1)
		})
	})
}

// Guards against leases that are no longer renewed after the connection to their owner broke.
func TestSessionIsRestoredAfterConnectionLoss(t *testing.T) {
	Convey("After the connection to the owner broke for a while, a preemption reaches the holder again", t, func() {
		d := startDomain(t, "vm-1", "vm-2")
		owner, other := ownerAndOther("vm-1", "vm-2")

		var n requestFactory

		held := fillSlots(d.slots[other], other, &n, sched.Batch)
		d.kill(owner)
		time.Sleep(100 * time.Millisecond)

		d.mu.Lock()
		d.killed[owner] = make(chan struct{})
		d.mu.Unlock()

		time.Sleep(1500 * time.Millisecond)

		go func() {
			_, _ = d.slots[owner].Acquire(context.Background(), "target", n.newRequest(owner, sched.Online, "b"))
		}()

		preempted := func() bool {
			for _, p := range held {
				select {
				case <-p.Preempted():
					return true
				default:
				}
			}

			return false
		}
		So(isTrueWithin(time.Second, preempted), ShouldBeTrue)
	})
}

// Guards against slots that are lost or never released when two daemons both act as owner of a target.
func TestConflictingOwnersConverge(t *testing.T) {
	Convey("Given two daemons that both grant slots of the target, as one does not see the other", t, func() {
		d := startDomain(t, "vm-1", "vm-2")
		owner, other := ownerAndOther("vm-1", "vm-2")
		d.setPeers(other, other)

		var n requestFactory

		a := fillSlots(d.slots[owner], owner, &n, sched.Online)
		b := fillSlots(d.slots[other], other, &n, sched.Online)
		So(a, ShouldNotBeEmpty)
		So(b, ShouldNotBeEmpty)

		Convey("the remaining owner learns of all slots in use, and all are released", func() {
			d.setPeers(other, owner, other)
			So(isTrueWithin(2*time.Second, func() bool { return d.slots[owner].Load("target").Online() == len(a)+len(b) }), ShouldBeTrue)

			for _, p := range append(a, b...) {
				p.Release(sched.Observation{})
			}

			So(isTrueWithin(2*time.Second, func() bool { return d.slots[owner].Load("target").Online() == 0 }), ShouldBeTrue)
		})
	})
}

// Guards against a request or a lease that stays at the owner after the wait of the caller was cancelled.
func TestCancelledWaitLeavesNoLease(t *testing.T) {
	Convey("A cancelled request at a remote owner leaves neither a lease nor a waiting request", t, func() {
		d := startDomain(t, "vm-1", "vm-2")
		owner, other := ownerAndOther("vm-1", "vm-2")

		var n requestFactory

		held := fillSlots(d.slots[other], other, &n, sched.Online)
		c, stop := context.WithCancel(context.Background())

		time.AfterFunc(30*time.Millisecond, stop)

		_, err := d.slots[other].Acquire(c, "target", n.newRequest(other, sched.Online, "a"))
		So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)

		for _, p := range held {
			p.Release(sched.Observation{})
		}

		So(isTrueWithin(time.Second, func() bool {
			l := d.slots[owner].Load("target")

			return l.Online() == 0 && l.Waiting() == 0
		}), ShouldBeTrue)
	})
}

// Guards against an account that floods a target from one daemon, so that another account gets no slot.
func TestFloodingAccountLeavesOthersTheirShare(t *testing.T) {
	Convey("An account with one request gets a slot soon beside an account with a hundred requests", t, func() {
		d := startDomain(t, "vm-1", "vm-2")
		owner, other := ownerAndOther("vm-1", "vm-2")

		var n requestFactory

		for range 100 {
			q := n.newRequest(other, sched.Online, "flood")

			go func() {
				if p, err := d.slots[other].Acquire(context.Background(), "target", q); err == nil {
					time.Sleep(20 * time.Millisecond)
					p.Release(sched.NewObservation(0, 0, 20*time.Millisecond, 1, true))
				}
			}()
		}

		time.Sleep(10 * time.Millisecond)

		start := time.Now()
		_, err := d.slots[owner].Acquire(context.Background(), "target", n.newRequest(owner, sched.Online, "few"))
		So(err, ShouldBeNil)
		So(time.Since(start), ShouldBeLessThan, 80*time.Millisecond)
	})
}

func isTrueWithin(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}

	return f()
}

// Guards against a pool that bypasses the slot owner, or does not release its slots there.
func TestPoolAcquiresFromSlotOwner(t *testing.T) {
	Convey("A pool acquires and releases its slots at the slot owner", t, func() {
		d := startDomain(t, "vm-1", "vm-2")
		owner, other := ownerAndOther("vm-1", "vm-2")
		p := balance.New(balance.Owner{}, d.slots[other], fixedLimits{}, other+"/1", time.Now, rand.New(rand.NewPCG(1, 1)))
		p.SetLocal("m", []filter.Target{filter.NewTarget("target", "")})

		v := filter.NewService(filter.ServiceSettings{Name: "m", Idempotent: true})
		r := filter.NewBatchRequest(filter.Input{Service: "m"}, filter.NewAccount("a", 0), v, time.Now().Add(time.Hour))
		s, err := p.Acquire(context.Background(), r, nil)
		So(err, ShouldBeNil)
		So(d.slots[owner].Load("target").Batch(), ShouldEqual, 1)
		s.Release(filter.NewObservation(0, 0, time.Millisecond, 0, true))
		So(isTrueWithin(time.Second, func() bool { return d.slots[owner].Load("target").Batch() == 0 }), ShouldBeTrue)
	})
}

type fixedLimits struct{}

func (fixedLimits) SlowShare() float64  { return 0.3 }
func (fixedLimits) SpillShare() float64 { return 0.2 }
