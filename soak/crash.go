package soak

import (
	"errors"
	"time"

	"github.com/agategap/agategap/standin/proxy"
)

const (
	// coldGap is the time before each event of a cold worker. Responses stay young long enough there for another crash.
	coldGap = 15 * eventInterval
	// coldTime is the time after the start of a worker's process for which the worker is slow.
	coldTime = 1500 * time.Millisecond
	// deadlyDowntime is the time after which a worker that a prompt has crashed is back.
	deadlyDowntime = 2 * time.Second
)

// crashView returns how clients see a crash of the worker with an index.
func crashView(k FaultKind, index int) proxy.CrashView {
	switch k {
	case CrashReset:
		return proxy.CrashReset
	case CrashEnd:
		return proxy.CrashEnd
	case CrashSilent:
		return proxy.CrashSilent
	default:
		return []proxy.CrashView{proxy.CrashReset, proxy.CrashEnd, proxy.CrashSilent}[index%3]
	}
}

// goDown ends the connections of the worker as a crash does. It returns false if the worker is down already.
func (t *proxiedWorker) goDown(v proxy.CrashView) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.downFrom.IsZero() {
		return false
	}

	t.downFrom = time.Now()
	t.proxy.Crash(v)

	return true
}

// restartWorker starts the process of worker i after a crash and writes its registration.
func (w *deployment) restartWorker(i int) error {
	t := w.workers[i]

	t.mu.Lock()
	t.worker.Restart()
	err := t.proxy.Restart()
	t.born, t.downFrom = time.Now().UnixMilli(), time.Time{}
	t.mu.Unlock()

	return errors.Join(err, w.writeRegistration(i))
}

// crashWorkers injects a crash of one worker, or of half of them, and starts them again after wait. It skips workers that
// are down already.
func (j *injector) crashWorkers(f Fault, wait func()) error {
	l := []int{f.index}

	if f.kind == CrashMany {
		l = nil
		for i := 0; i < len(j.deployment.workers); i += 2 {
			l = append(l, i)
		}
	}

	var down []int

	for _, i := range l {
		if t := j.deployment.workers[i]; t.goDown(crashView(f.kind, i)) {
			t.worker.Crash()

			down = append(down, i)
		}
	}

	wait()

	var err error

	for _, i := range down {
		err = errors.Join(err, j.deployment.restartWorker(i))
	}

	return err
}

// crashUnderPrompt handles a crash of worker i that was not injected but caused by a prompt: it ends the connections of
// the worker, records the crash as a fault, and starts the worker again after deadlyDowntime.
func (j *injector) crashUnderPrompt(i int) {
	t := j.deployment.workers[i]
	if !t.goDown(crashView(DeadlyCrash, i+t.worker.Crashes())) {
		return
	}

	j.recorder.Count("fault " + string(DeadlyCrash))

	record := j.recordStart(Fault{kind: DeadlyCrash, index: i})

	time.AfterFunc(deadlyDowntime, func() {
		if err := j.deployment.restartWorker(i); err != nil {
			j.recorder.RecordBroken(Recovered, string(DeadlyCrash), "the worker could not be started again: "+err.Error())
		}

		j.mu.Lock()
		defer j.mu.Unlock()

		j.injected[record].to = time.Now()
	})
}
