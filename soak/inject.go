package soak

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/agategap/agategap/standin/proxy"
	"github.com/agategap/agategap/standin/store"
	"github.com/agategap/agategap/standin/worker"
)

const (
	linkDelay  = 80 * time.Millisecond
	storeDelay = 300 * time.Millisecond
	storeLate  = 700 * time.Millisecond
	lostShare  = 0.4
	breakAfter = 5
)

// injector does faults to a world and remembers when.
type injector struct {
	world  *world
	ledger *Ledger

	mu    sync.Mutex
	store []Fault // faults of the store in force
	done  []span
	busy  map[int]bool // daemons whose process is stopped, paused or killed
	wg    sync.WaitGroup
}

// span is a fault as it was done.
type span struct {
	fault Fault
	from  time.Time
	to    time.Time // zero while it lasts
}

// run does the faults of a schedule and waits for their ends.
func (j *injector) run(ctx context.Context, l []Fault) {
	start := time.Now()

	for _, f := range l {
		select {
		case <-time.After(time.Until(start.Add(f.start))):
		case <-ctx.Done():
		}

		if ctx.Err() != nil {
			break
		}

		j.wg.Go(func() { j.do(f) })
	}

	j.wg.Wait()
}

// do does a fault and undoes it at its end.
func (j *injector) do(f Fault) {
	n := j.begin(f)
	j.ledger.Count("fault " + string(f.kind))

	if err := j.inject(f); err != nil {
		j.ledger.Break(Recovered, string(f.kind), "the fault could not be injected or undone: "+err.Error())
	}

	j.mu.Lock()
	j.done[n].to = time.Now()
	j.mu.Unlock()
}

func (j *injector) begin(f Fault) int {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.done = append(j.done, span{fault: f, from: time.Now()})

	return len(j.done) - 1
}

func (j *injector) inject(f Fault) error {
	wait := func() { time.Sleep(f.end - f.start) }
	w := j.world

	switch f.kind {
	case Kill, Pause, Stop, Reload, KillMany:
		return j.signals(f, wait)
	case Configure:
		return w.configure()
	case StoreLinkCut:
		w.daemons[f.index].store.SetDown(true)
		wait()
		w.daemons[f.index].store.SetDown(false)
	case StoreLinkDeaf:
		w.daemons[f.index].store.SetBlackhole(proxy.ToClient, true)
		wait()
		w.daemons[f.index].store.SetBlackhole(proxy.ToClient, false)
	case StoreLinkSlow:
		w.daemons[f.index].store.SetDelay(linkDelay)
		wait()
		w.daemons[f.index].store.SetDelay(0)
	case PeersCut, PeersDeaf, PeersSilent, PeersReset, PeersSlow:
		peersFault(f.kind, w.daemons[f.index].peers, wait)
	case StoreDown, StoreSilent, StoreSlow, StoreLossy, StoreForgets:
		j.storeFault(f, true)
		wait()
		j.storeFault(f, false)
	default:
		return j.targetFault(f, wait)
	}

	return nil
}

// peersFault does a fault to the connections of other daemons to one.
func peersFault(k Kind, p *proxy.Proxy, wait func()) {
	switch k {
	case PeersCut:
		p.SetDown(true)
		wait()
		p.SetDown(false)
	case PeersDeaf:
		p.SetBlackhole(proxy.ToClient, true)
		wait()
		p.SetBlackhole(proxy.ToClient, false)
	case PeersSlow:
		p.SetDelay(linkDelay)
		wait()
		p.SetDelay(0)
	case PeersSilent:
		p.BlackholeOpen(proxy.ToClient)
	default:
		p.ResetOpen()
	}
}

func (j *injector) targetFault(f Fault, wait func()) error {
	t := j.world.targets[f.index]

	switch f.kind {
	case WorkerCut:
		t.proxy.SetDown(true)
		wait()
		t.proxy.SetDown(false)
	case WorkerReset:
		t.proxy.ResetOpen()
	case WorkerSilent:
		t.proxy.BlackholeOpen(proxy.ToClient)
	case WorkerSlow:
		t.proxy.SetDelay(linkDelay)
		wait()
		t.proxy.SetDelay(0)
	case WorkerBreaks:
		t.worker.SetFaults(worker.Faults{BreakAfter: breakAfter, TearEvent: true})
		wait()
		t.worker.SetFaults(worker.Faults{})
	case WorkerLeaves:
		if err := j.world.setState(f.index, "draining"); err != nil {
			return err
		}

		wait()

		return j.world.setState(f.index, "ready")
	}

	return nil
}

// storeFault begins or ends a fault of the store beside the others that last.
func (j *injector) storeFault(f Fault, begin bool) {
	j.mu.Lock()
	defer j.mu.Unlock()

	if begin {
		j.store = append(j.store, f)
	} else {
		for i, o := range j.store {
			if o == f {
				j.store = append(j.store[:i:i], j.store[i+1:]...)

				break
			}
		}
	}

	var v store.Faults

	for _, o := range j.store {
		switch o.kind {
		case StoreDown:
			v.Down = true
		case StoreSilent:
			v.Silent = true
		case StoreSlow:
			v.DelayMS = int(storeDelay.Milliseconds())
		case StoreLossy:
			v.LostShare, v.LateMS = lostShare, int(storeLate.Milliseconds())
		case StoreForgets:
			v.KeepLast = 1
		}
	}

	j.world.store.SetFaults(v)
}

// claim takes the processes of daemons that no other fault has.
func (j *injector) claim(l []int) []int {
	j.mu.Lock()
	defer j.mu.Unlock()

	if j.busy == nil {
		j.busy = map[int]bool{}
	}

	var free []int

	for _, i := range l {
		if !j.busy[i] {
			j.busy[i] = true
			free = append(free, i)
		}
	}

	return free
}

func (j *injector) release(l []int) {
	j.mu.Lock()
	defer j.mu.Unlock()

	for _, i := range l {
		delete(j.busy, i)
	}
}

// signals does the faults that are signals to processes.
func (j *injector) signals(f Fault, wait func()) error {
	l := []int{f.index}

	if f.kind == KillMany {
		l = nil
		for i := 0; i < len(j.world.daemons); i += 2 {
			l = append(l, i)
		}
	}

	l = j.claim(l)
	defer j.release(l)

	var signal os.Signal

	switch f.kind {
	case Pause:
		signal = syscall.SIGSTOP
	case Stop:
		signal = syscall.SIGTERM
	case Reload:
		signal = syscall.SIGHUP
	default:
		signal = os.Kill
	}

	for _, i := range l {
		if err := j.world.daemons[i].signal(signal); err != nil {
			return err
		}
	}

	if f.kind == Reload {
		return nil
	}

	if f.kind != Stop {
		wait()
	}

	for _, i := range l {
		if err := j.resume(f.kind, j.world.daemons[i]); err != nil {
			return err
		}
	}

	return nil
}

// resume has a daemon serve again.
func (j *injector) resume(k Kind, d *daemon) error {
	if k == Pause {
		return d.signal(syscall.SIGCONT)
	}

	if k == Stop {
		select {
		case <-d.end():
		case <-time.After(grace):
			j.ledger.Break(Shutdown, d.vm, "the shutdown took longer than it may")

			if err := d.signal(os.Kill); err != nil {
				return err
			}
		}
	}

	if err := j.world.restart(d); err != nil {
		return err
	}

	return d.ready(context.Background())
}

// quiet reports whether no fault of some kinds lasted between two times.
func (j *injector) quiet(from, to time.Time, concerns func(f Fault) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()

	for _, s := range j.done {
		if concerns(s.fault) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}

	return true
}

// concernsDaemon reports whether a fault is one of a daemon or its link to the store, or of the store.
func concernsDaemon(n int) func(f Fault) bool {
	return func(f Fault) bool {
		switch f.kind {
		case Kill, Pause, Stop, StoreLinkCut, StoreLinkDeaf, StoreLinkSlow:
			return f.index == n
		case KillMany, StoreDown, StoreSilent, StoreSlow, StoreLossy:
			return true
		default:
			return false
		}
	}
}

// concernsAnyDaemon reports whether a fault is one of any daemon or of the store.
func concernsAnyDaemon(f Fault) bool {
	switch f.kind {
	case Kill, Pause, Stop, StoreLinkCut, StoreLinkDeaf, StoreLinkSlow:
		return true
	default:
		return concernsDaemon(-1)(f)
	}
}

// concernsTargets reports whether a fault is one of a worker or kills daemons.
func concernsTargets(f Fault) bool {
	switch f.kind {
	case WorkerCut, WorkerReset, WorkerSilent, WorkerSlow, WorkerBreaks, KillMany:
		return true
	default:
		return false
	}
}
