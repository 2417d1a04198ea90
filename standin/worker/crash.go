package worker

import "time"

// coldFactor is the factor on the time before each event of a cold worker. Responses stay young long enough there for
// another crash.
const coldFactor = 15

// outage is the state of a worker whose process has crashed or has started again lately.
type outage struct {
	down      bool
	coldUntil time.Time // the worker is slow until then; zero if it never crashed
}

// Crash ends the process of the worker, as SIGKILL does. No request runs until Restart, also none that has waited for a
// slot.
func (k *Worker) Crash() {
	k.mu.Lock()
	k.outage.down = true

	close(k.crashed)
	k.crashed = make(chan struct{})
	k.mu.Unlock()
}

// Restart starts the process again after Crash. The worker is cold, and therefore slow, for a time.
func (k *Worker) Restart(cold time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.outage = outage{coldUntil: time.Now().Add(cold)}
}

func (k *Worker) isDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.outage.down
}

// eventGap returns the time before the next event of a response.
func (k *Worker) eventGap() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()

	if time.Now().Before(k.outage.coldUntil) {
		return coldFactor * k.options.Gap
	}

	return k.options.Gap
}
