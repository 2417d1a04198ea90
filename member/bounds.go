package member

import "time"

// Bounds are the times of the membership. The zero value means the defaults.
type Bounds struct {
	probe, answer, suspect, remote time.Duration
}

// NewBounds returns bounds: the time between two probes, the time that a probe waits for its answer, the time
// from suspicion to removal, and the time between two exchanges with other failure domains.
func NewBounds(probe, answer, suspect, remote time.Duration) Bounds {
	return Bounds{probe: probe, answer: answer, suspect: suspect, remote: remote}
}

const (
	// defaultProbe gives two probes a second. With answers that is eight messages a second in and out, about half
	// of the 2 KB/s that a daemon may use.
	defaultProbe = 500 * time.Millisecond
	// defaultAnswer is far above the 1 to 2 ms of the network and covers scheduling delays of small VMs.
	defaultAnswer = 400 * time.Millisecond
	// defaultSuspect leaves a suspected daemon several probes in which to refute.
	defaultSuspect = 4 * time.Second
	defaultRemote  = 10 * time.Second
)

func (b Bounds) withDefaults() Bounds {
	for _, v := range []struct {
		d   *time.Duration
		def time.Duration
	}{{&b.probe, defaultProbe}, {&b.answer, defaultAnswer}, {&b.suspect, defaultSuspect}, {&b.remote, defaultRemote}} {
		if *v.d == 0 {
			*v.d = v.def
		}
	}

	return b
}

// Probe returns the time between two probes.
func (b Bounds) Probe() time.Duration { return b.withDefaults().probe }

// Answer returns the time that a probe waits for its answer.
func (b Bounds) Answer() time.Duration { return b.withDefaults().answer }

const (
	// helpers is the number of peers that check a silent one. Three make a false suspicion by one lossy path rare.
	helpers = 3
	// healFactor is the number of probe intervals between two probes of daemons that are not in the view, by which
	// two halves find each other after a cut.
	healFactor = 4
	// pauseFactor is the number of probe intervals without a tick after which this process was itself paused, so that
	// its timers say nothing about others.
	pauseFactor = 4
	// startup is how long a daemon that has just started trusts the list about daemons it has not heard of. It
	// covers several probes outside the view.
	startup = 10 * time.Second
	// syncEvery bounds full exchanges, which cost several KB at 43 daemons.
	syncEvery = 10 * time.Second
	// retransmit times the logarithm of the number of daemons is how often a change is sent by each daemon.
	retransmit = 3
	// keepRemoved is longer than a stale report can circulate.
	keepRemoved = 10 * time.Minute
	// keepLeaving outlasts a late list and a paused process.
	keepLeaving = 24 * time.Hour
	// shareLeaving bounds how long full exchanges repeat a leaving daemon, so that it is forgotten in the end.
	shareLeaving = time.Hour
	// keepDeparted and shareDeparted do the same for leaving targets.
	keepDeparted  = 7 * 24 * time.Hour
	shareDeparted = 6 * 24 * time.Hour
	// lateList is the longest time by which the platform's list is taken to lag when it shows a new incarnation as
	// leaving whose predecessor left.
	lateList = time.Minute
	// remoteAge is how long the word of another failure domain replaces the platform's list.
	remoteAge = 3 * time.Minute
)

const (
	// maxChanges bounds what a heartbeat carries: 8 changes are about 400 bytes.
	maxChanges = 8
	// maxFull bounds a full exchange. A failure domain has about 43 daemons and 75 targets.
	maxFull = 4096
	// maxName bounds names and addresses.
	maxName = 128
)
