package sched

import (
	"slices"
	"time"
)

// waitQueue has the waiting demands of one kind, for each account in the order of their deadlines.
type waitQueue struct {
	accounts map[string][]waitingRequest
	count        int
}

func compareByDeadline(a, b waitingRequest) int {
	switch x, y := a.request.deadline, b.request.deadline; {
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

func (l *waitQueue) add(w waitingRequest) {
	if l.accounts == nil {
		l.accounts = map[string][]waitingRequest{}
	}

	s := l.accounts[w.request.account]

	i := len(s)
	for i > 0 && compareByDeadline(w, s[i-1]) < 0 {
		i--
	}

	l.accounts[w.request.account] = slices.Insert(s, i, w)
	l.count++
}

// dequeue takes the earliest demand among those first in their account that pass the test, or else among all. The lane is
// not empty.
func (l *waitQueue) dequeue(preferred func(w waitingRequest) bool) waitingRequest {
	var best, any *waitingRequest

	for _, s := range l.accounts {
		w := &s[0]
		if any == nil || isEarlier(*w, *any) {
			any = w
		}

		if preferred(*w) && (best == nil || isEarlier(*w, *best)) {
			best = w
		}
	}

	if best == nil {
		best = any
	}

	w := *best
	l.setRequests(w.request.account, l.accounts[w.request.account][1:])

	return w
}

// isEarlier orders demands of different accounts; the identifier makes the order independent of the map's.
func isEarlier(a, b waitingRequest) bool {
	c := compareByDeadline(a, b)

	return c < 0 || c == 0 && a.request.id < b.request.id
}

// remove takes a demand out and reports whether it was there.
func (l *waitQueue) remove(d SlotRequest) bool {
	s := l.accounts[d.account]

	i := slices.IndexFunc(s, func(w waitingRequest) bool { return w.request.id == d.id })
	if i < 0 {
		return false
	}

	l.setRequests(d.account, append(s[:i:i], s[i+1:]...))

	return true
}

// removeIf removes and returns the demands that pass the test.
func (l *waitQueue) removeIf(f func(w waitingRequest) bool) []waitingRequest {
	var t []waitingRequest

	for a, s := range l.accounts {
		if !slices.ContainsFunc(s, f) {
			continue
		}

		var left []waitingRequest

		for _, w := range s {
			if f(w) {
				t = append(t, w)
			} else {
				left = append(left, w)
			}
		}

		l.setRequests(a, left)
	}

	return t
}

func (l *waitQueue) setRequests(account string, s []waitingRequest) {
	l.count += len(s) - len(l.accounts[account])

	if len(s) == 0 {
		delete(l.accounts, account)
	} else {
		l.accounts[account] = s
	}
}

// countUntil returns the number of demands with a deadline up to t, or of all when t is zero.
func (l *waitQueue) countUntil(t time.Time) int {
	if t.IsZero() {
		return l.count
	}

	n := 0

	for _, s := range l.accounts {
		i, _ := slices.BinarySearchFunc(s, t, func(w waitingRequest, t time.Time) int {
			if w.request.deadline.IsZero() || w.request.deadline.After(t) {
				return 1
			}

			return -1
		})
		n += i
	}

	return n
}
