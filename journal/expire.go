package journal

import "time"

// dueList has the work that ended, by the minute in which its retention is over.
type dueList struct {
	minute int64
	work   map[int64][]Key
}

// add notes that the result under k expires at t.
func (d *dueList) add(k Key, t time.Time) {
	if d.work == nil {
		d.work = map[int64][]Key{}
	}

	m := minute(t) + 1
	d.work[m] = append(d.work[m], k)
}

// take returns the keys whose minute is over at time t, at most once a minute.
func (d *dueList) take(t time.Time) ([]Key, bool) {
	n := minute(t)
	if n == d.minute {
		return nil, false
	}

	d.minute = n

	var l []Key

	for m, k := range d.work {
		if m <= n {
			l = append(l, k...)

			delete(d.work, m)
		}
	}

	return l, true
}

func minute(t time.Time) int64 { return t.Unix() / int64(time.Minute/time.Second) }

// Expire drops ended work and jobs whose retention is over at the log's time, and returns their number. Replay
// does the same once a minute of the log's time; lookups never return them.
func (p *Partition) Expire() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	n := 0

	for k, w := range p.work {
		if w.expired(p.at) {
			delete(p.work, k)
			n++
		}
	}

	return n + p.expireJobs()
}

// expireDue drops what expired since the last minute of the log's time.
func (p *Partition) expireDue() {
	l, ok := p.due.take(p.at)
	if !ok {
		return
	}

	for _, k := range l {
		if w, found := p.work[k]; found && w.expired(p.at) {
			delete(p.work, k)
		}
	}

	p.expireJobs()
}

func (p *Partition) expireJobs() int {
	n := 0

	for id, j := range p.jobs {
		if j.Expired(p.at) {
			delete(p.jobs, id)
			n++
		}
	}

	return n
}
