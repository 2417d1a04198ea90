package member

import "time"

// Bounds are the times of the membership. The zero value means the defaults.
type Bounds struct {
	probeInterval, replyTimeout, suspectTimeout, exchangeInterval time.Duration
}

// NewBounds returns bounds: the time between two probes, the time that a probe waits for its answer, the time
// from suspicion to removal, and the time between two exchanges with other failure domains.
func NewBounds(probe, answer, suspect, remote time.Duration) Bounds {
	return Bounds{probeInterval: probe, replyTimeout: answer, suspectTimeout: suspect, exchangeInterval: remote}
}

const (
	// defaultProbeInterval gives two probes a second. With answers that is eight messages a second in and out, about half
	// of the 2 KB/s that a daemon may use.
	defaultProbeInterval = 500 * time.Millisecond
	// defaultReplyTimeout is far above the 1 to 2 ms of the network and covers scheduling delays of small VMs.
	defaultReplyTimeout = 400 * time.Millisecond
	// defaultSuspectTimeout leaves a suspected daemon several probes in which to refute.
	defaultSuspectTimeout = 4 * time.Second
	defaultExchangeInterval  = 10 * time.Second
)

func (b Bounds) withDefaults() Bounds {
	for _, v := range []struct {
		d   *time.Duration
		def time.Duration
	}{{&b.probeInterval, defaultProbeInterval}, {&b.replyTimeout, defaultReplyTimeout}, {&b.suspectTimeout, defaultSuspectTimeout}, {&b.exchangeInterval, defaultExchangeInterval}} {
		if *v.d == 0 {
			*v.d = v.def
		}
	}

	return b
}

// ProbeInterval returns the time between two probes.
func (b Bounds) ProbeInterval() time.Duration { return b.withDefaults().probeInterval }

// ReplyTimeout returns the time that a probe waits for its answer.
func (b Bounds) ReplyTimeout() time.Duration { return b.withDefaults().replyTimeout }

const (
	// maxIndirectChecks is the number of peers that check a silent one. Three make a false suspicion by one lossy path rare.
	maxIndirectChecks = 3
	// healProbeIntervals is the number of probe intervals between two probes of daemons that are not in the view, by which
	// two halves find each other after a cut.
	healProbeIntervals = 4
	// pauseIntervals is the number of probe intervals without a tick after which this process was itself paused, so that
	// its timers say nothing about others.
	pauseIntervals = 4
	// startupGracePeriod is how long a daemon that has just started trusts the list about daemons it has not heard of. It
	// covers several probes outside the view.
	startupGracePeriod = 10 * time.Second
	// minSyncInterval bounds full exchanges, which cost several KB at 43 daemons.
	minSyncInterval = 10 * time.Second
	// retransmitFactor times the logarithm of the number of daemons is how often a change is sent by each daemon.
	retransmitFactor = 3
	// removedRetention is longer than a stale report can circulate.
	removedRetention = 10 * time.Minute
	// leavingRetention outlasts a late list and a paused process.
	leavingRetention = 24 * time.Hour
	// maxSyncedLeavingAge bounds how long full exchanges repeat a leaving daemon, so that it is forgotten in the end.
	maxSyncedLeavingAge = time.Hour
	// departureRetention and shareDeparted do the same for leaving targets.
	departureRetention  = 7 * 24 * time.Hour
	maxSyncedDepartureAge = 6 * 24 * time.Hour
	// maxListLag is the longest time by which the platform's list is taken to lag when it shows a new incarnation as
	// leaving whose predecessor left.
	maxListLag = time.Minute
	// maxRemoteAge is how long the word of another failure domain replaces the platform's list.
	maxRemoteAge = 3 * time.Minute
)

const (
	// maxHeartbeatChanges bounds what a heartbeat carries: 8 changes are about 400 bytes.
	maxHeartbeatChanges = 8
	// maxSyncEntries bounds a full exchange. A failure domain has about 43 daemons and 75 targets.
	maxSyncEntries = 4096
	// maxNameBytes bounds names and addresses.
	maxNameBytes = 128
)
