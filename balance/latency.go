package balance

import (
	"slices"
	"time"
)

const (
	// latencySmoothing is the weight of a new observation; about the last five count.
	latencySmoothing = 0.3
	// slowRatio is how many times slower than the median of its peers a target counts as slow.
	slowRatio = 3
	// slowSlack keeps short times to the first token from counting as slow, as timers are no finer.
	slowSlack = 10 * time.Millisecond
	// ejectionThreshold is the number of slow answers in a row after which a target is set aside.
	ejectionThreshold = 3
	// minProbeInterval and lastProbe bound the time between two probes of a target that is set aside; it doubles.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval  = 4 * time.Second
)

// latency is what this daemon saw of a target's times.
type latency struct {
	firstToken, perToken float64
	slowInRow       int
	ejected      bool
	probeInterval      time.Duration
	nextProbe    time.Time
}

// observe takes a time to the first token and a mean time between tokens; 0 is unknown.
func (l *latency) observe(now time.Time, first, per time.Duration, peers medians) {
	if peers.isSlow(first, per) {
		l.slowInRow++

		if l.ejected {
			l.scheduleProbe(now)
		}
	} else {
		if l.ejected { // the target is back; what it did before says nothing
			*l = latency{}
		}

		l.slowInRow = 0
	}

	l.firstToken = smooth(l.firstToken, first)
	l.perToken = smooth(l.perToken, per)
}

func smooth(mean float64, v time.Duration) float64 {
	switch {
	case v <= 0:
		return mean
	case mean == 0:
		return float64(v)
	default:
		return mean + latencySmoothing*(float64(v)-mean)
	}
}

// recordSlow takes a first token that is overdue.
func (l *latency) recordSlow() { l.slowInRow++ }

// eject starts the time without requests but probes.
func (l *latency) eject(now time.Time) {
	l.ejected, l.probeInterval = true, 0
	l.scheduleProbe(now)
}

func (l *latency) scheduleProbe(now time.Time) {
	l.probeInterval = min(maxProbeInterval, max(minProbeInterval, 2*l.probeInterval))
	l.nextProbe = now.Add(l.probeInterval)
}

// startProbe reports whether a probe may go out now, and counts it.
func (l *latency) startProbe(now time.Time) bool {
	if !l.ejected || now.Before(l.nextProbe) {
		return false
	}

	l.scheduleProbe(now)

	return true
}

// weight returns the target's weight among its peers.
func (l *latency) weight(peers medians) float64 {
	w := 1.0
	if l.perToken > peers.perToken && l.perToken > 0 {
		w = min(w, peers.perToken/l.perToken)
	}

	if l.firstToken > peers.firstToken+float64(slowSlack) {
		w = min(w, (peers.firstToken+float64(slowSlack))/l.firstToken)
	}

	return w
}

// medians has the medians of a service's targets.
type medians struct {
	firstToken, perToken float64
}

func (u medians) isSlow(first, per time.Duration) bool {
	return u.perToken > 0 && float64(per) > slowRatio*u.perToken ||
		u.firstToken > 0 && float64(first) > slowRatio*u.firstToken+float64(slowSlack)
}

func mediansOf(m []*targetState) medians {
	var first, per []float64

	for _, v := range m {
		if v.latency.firstToken > 0 {
			first = append(first, v.latency.firstToken)
		}

		if v.latency.perToken > 0 {
			per = append(per, v.latency.perToken)
		}
	}

	return medians{firstToken: median(first), perToken: median(per)}
}

func median(l []float64) float64 {
	if len(l) == 0 {
		return 0
	}

	slices.Sort(l)

	return l[(len(l)-1)/2]
}
