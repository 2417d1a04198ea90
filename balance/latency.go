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
	// slowInRow is the number of slow answers in a row after which a target is set aside.
	slowInRow = 3
	// firstProbe and lastProbe bound the time between two probes of a target that is set aside; it doubles.
	firstProbe = 500 * time.Millisecond
	lastProbe  = 4 * time.Second
)

// latency is what this daemon saw of a target's times.
type latency struct {
	first, per float64
	slow       int
	aside      bool
	probe      time.Duration
	probeAt    time.Time
}

// observe takes a time to the first token and a mean time between tokens; 0 is unknown.
func (l *latency) observe(now time.Time, first, per time.Duration, peers usual) {
	if peers.isSlow(first, per) {
		l.slow++

		if l.aside {
			l.wait(now)
		}
	} else {
		if l.aside { // the target is back; what it did before says nothing
			*l = latency{}
		}

		l.slow = 0
	}

	l.first = smooth(l.first, first)
	l.per = smooth(l.per, per)
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

// late takes a first token that is overdue.
func (l *latency) late() { l.slow++ }

// setAside starts the time without requests but probes.
func (l *latency) setAside(now time.Time) {
	l.aside, l.probe = true, 0
	l.wait(now)
}

func (l *latency) wait(now time.Time) {
	l.probe = min(lastProbe, max(firstProbe, 2*l.probe))
	l.probeAt = now.Add(l.probe)
}

// due reports whether a probe may go out now, and counts it.
func (l *latency) due(now time.Time) bool {
	if !l.aside || now.Before(l.probeAt) {
		return false
	}

	l.wait(now)

	return true
}

// weight returns the target's weight among its peers.
func (l *latency) weight(peers usual) float64 {
	w := 1.0
	if l.per > peers.per && l.per > 0 {
		w = min(w, peers.per/l.per)
	}

	if l.first > peers.first+float64(slowSlack) {
		w = min(w, (peers.first+float64(slowSlack))/l.first)
	}

	return w
}

// usual has the medians of a service's targets.
type usual struct {
	first, per float64
}

func (u usual) isSlow(first, per time.Duration) bool {
	return u.per > 0 && float64(per) > slowRatio*u.per ||
		u.first > 0 && float64(first) > slowRatio*u.first+float64(slowSlack)
}

func usualOf(m []*member) usual {
	var first, per []float64

	for _, v := range m {
		if v.latency.first > 0 {
			first = append(first, v.latency.first)
		}

		if v.latency.per > 0 {
			per = append(per, v.latency.per)
		}
	}

	return usual{first: median(first), per: median(per)}
}

func median(l []float64) float64 {
	if len(l) == 0 {
		return 0
	}

	slices.Sort(l)

	return l[(len(l)-1)/2]
}
