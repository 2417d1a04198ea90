package sched

import (
	"slices"
	"time"
)

// lane has the waiting demands of one kind, for each account in the order of their deadlines.
type lane struct {
	accounts map[string][]waiter
	n        int
}

func compare(a, b waiter) int {
	switch x, y := a.demand.deadline, b.demand.deadline; {
	case x.Equal(y):
		return a.since.Compare(b.since)
	case x.IsZero():
		return 1
	case y.IsZero():
		return -1
	default:
		return x.Compare(y)
	}
}

func (l *lane) add(w waiter) {
	if l.accounts == nil {
		l.accounts = map[string][]waiter{}
	}

	s := l.accounts[w.demand.account]

	i := len(s)
	for i > 0 && compare(w, s[i-1]) < 0 {
		i--
	}

	l.accounts[w.demand.account] = slices.Insert(s, i, w)
	l.n++
}

// next takes the earliest demand among those first in their account that pass the test, or else among all. The lane is
// not empty.
func (l *lane) next(preferred func(w waiter) bool) waiter {
	var best, any *waiter

	for _, s := range l.accounts {
		w := &s[0]
		if any == nil || earlier(*w, *any) {
			any = w
		}

		if preferred(*w) && (best == nil || earlier(*w, *best)) {
			best = w
		}
	}

	if best == nil {
		best = any
	}

	w := *best
	l.set(w.demand.account, l.accounts[w.demand.account][1:])

	return w
}

// earlier orders demands of different accounts; the identifier makes the order independent of the map's.
func earlier(a, b waiter) bool {
	c := compare(a, b)

	return c < 0 || c == 0 && a.demand.id < b.demand.id
}

// remove takes a demand out and reports whether it was there.
func (l *lane) remove(d Demand) bool {
	s := l.accounts[d.account]

	i := slices.IndexFunc(s, func(w waiter) bool { return w.demand.id == d.id })
	if i < 0 {
		return false
	}

	l.set(d.account, append(s[:i:i], s[i+1:]...))

	return true
}

// take removes and returns the demands that pass the test.
func (l *lane) take(f func(w waiter) bool) []waiter {
	var t []waiter

	for a, s := range l.accounts {
		if !slices.ContainsFunc(s, f) {
			continue
		}

		var left []waiter

		for _, w := range s {
			if f(w) {
				t = append(t, w)
			} else {
				left = append(left, w)
			}
		}

		l.set(a, left)
	}

	return t
}

func (l *lane) set(account string, s []waiter) {
	l.n += len(s) - len(l.accounts[account])

	if len(s) == 0 {
		delete(l.accounts, account)
	} else {
		l.accounts[account] = s
	}
}

// before returns the number of demands with a deadline up to t, or of all when t is zero.
func (l *lane) before(t time.Time) int {
	if t.IsZero() {
		return l.n
	}

	n := 0

	for _, s := range l.accounts {
		i, _ := slices.BinarySearchFunc(s, t, func(w waiter, t time.Time) int {
			if w.demand.deadline.IsZero() || w.demand.deadline.After(t) {
				return 1
			}

			return -1
		})
		n += i
	}

	return n
}
