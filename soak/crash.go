package soak

import (
	"errors"
	"strconv"
	"sync"
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

const (
	// followInterval is the interval at which the workers are searched for the item that is followed.
	followInterval = 5 * time.Millisecond
	// followAge is the age up to which the run of an item is young: two events of a worker that is not cold.
	followAge = 2 * eventInterval
	// maxFollowCrashes bounds the crashes under one item.
	maxFollowCrashes = 4
	// followDowntime is the time after which such a worker is back.
	followDowntime = 600 * time.Millisecond
)

// followItem crashes the worker at which some item of a job without deadlyPart has just begun, and then each worker at
// which the same item begins or resumes, until the end of the fault. The item causes none of these crashes.
func (j *injector) followItem(f Fault) error {
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		failures error
		item     string
	)

	match := func(id string) bool {
		return item == "" && j.deployment.prompts.isSoundItem(id) || item != "" && id == item
	}

	end := time.Now().Add(f.end - f.start)

	for crashes := 0; crashes < maxFollowCrashes && time.Now().Before(end); time.Sleep(followInterval) {
		for i, t := range j.deployment.workers {
			age := followAge
			if item != "" {
				age = 2 * coldGap // the worker may be cold
			}

			id := t.worker.YoungRun(match, age)
			if id == "" || !t.goDown(crashView(f.kind, i+crashes)) {
				continue
			}

			t.worker.Crash()

			item = id
			crashes++

			j.recorder.Count("followed crash " + strconv.Itoa(crashes))
			wg.Go(func() {
				time.Sleep(followDowntime)

				err := j.deployment.restartWorker(i)

				mu.Lock()
				defer mu.Unlock()

				failures = errors.Join(failures, err)
			})

			break
		}
	}

	wg.Wait()

	return failures
}
