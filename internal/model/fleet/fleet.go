// Package fleet models a fleet of workers whose slots are granted by package pool, in simulated time and without a
// network. It shows what a decision about waiting, refusing and returning means for all callers under a load pattern.
package fleet

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/agategap/agategap/internal/model/load"
	"github.com/agategap/agategap/internal/serve/urgency"
	"github.com/agategap/agategap/pool"
)

// Settings describe the fleet and its callers. The zero value of a field stands for its default.
type Settings struct {
	Workers   int           // number of workers; 9
	Slots     int           // slots of a worker; 8
	Load      float64       // mean share of the slots that online requests take; 0.5
	BatchLoad float64       // mean share of the slots that batch items take; 0.3
	RunTime   time.Duration // mean run time of an online request; 650 ms
	ItemTime  time.Duration // run time of a batch item; 4.8 s
	Objective time.Duration // time from the first attempt to the first event; 300 ms
	Patience  time.Duration // time for which a caller waits; 5 s
}

func (s Settings) withDefaults() Settings {
	d := Settings{
		Workers: 9, Slots: 8, Load: 0.5, BatchLoad: 0.3, RunTime: 650 * time.Millisecond, ItemTime: 4800 * time.Millisecond,
		Objective: 300 * time.Millisecond, Patience: 5 * time.Second,
	}

	setDefault(&s.Workers, d.Workers)
	setDefault(&s.Slots, d.Slots)
	setDefault(&s.Load, d.Load)
	setDefault(&s.BatchLoad, d.BatchLoad)
	setDefault(&s.RunTime, d.RunTime)
	setDefault(&s.ItemTime, d.ItemTime)
	setDefault(&s.Objective, d.Objective)
	setDefault(&s.Patience, d.Patience)

	return s
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

const (
	// startTime is the time from a grant to the first event of an idle worker, with the way there and back.
	startTime = 25 * time.Millisecond
	// connectTimeout is how long a caller waits for a connection to a daemon that is away.
	connectTimeout = time.Second
	// yieldTime is the time from a preemption to the release of the slot.
	yieldTime = 5 * time.Millisecond
	// tick is the interval of the pool's periodic work.
	tick = 25 * time.Millisecond
	// attempts is the number of attempts of a caller.
	attempts = 2
	// minSpread and runSpread make run times uniform between half and one and a half times their mean.
	minSpread, runSpread = 0.5, 1.0
	// itemDue is the time within which a batch item is due.
	itemDue = 18 * time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model is the state of one run.
type model struct {
	settings Settings
	pattern  load.Pattern
	random   *rand.Rand
	pool     *pool.Pool
	now      time.Duration
	events   eventQueue
	started  time.Duration // when the daemons were last started
	epoch    int           // number of restarts; work of an earlier one is lost
	lastID   int
	waiting  map[string]func(target string) // what to do with a slot, by waiting request
	running  map[string]*run                // by lease
	result   Result
}

// run is work that holds a slot.
type run struct {
	target string
	item   *item // nil for an online request
	began  time.Duration
}

// item is a batch item; left is the rest of its run time.
type item struct {
	due, left time.Duration
}

// Run plays a pattern once. The result depends only on the arguments.
func Run(s Settings, p load.Pattern, seed uint64) Result {
	s = s.withDefaults()
	m := &model{
		settings: s, pattern: p, random: rand.New(rand.NewPCG(seed, 1)), pool: &pool.Pool{}, //nolint:gosec // a simulation
		waiting: map[string]func(string){}, running: map[string]*run{},
	}
	m.result.Reference = reference(s, p, seed)
	m.setTargets()
	m.arrivals(p.Intensity, s.Load/s.RunTime.Seconds(), func() { m.call(&caller{first: m.now, until: m.now + s.Patience}) })
	m.arrivals(p.JobIntensity, s.BatchLoad/s.ItemTime.Seconds(), func() { m.request(&item{due: m.now + itemDue, left: s.ItemTime}) })

	for _, t := range p.Changes() {
		m.at(t, m.change)
	}

	m.at(0, m.periodic)

	for len(m.events) > 0 {
		e, _ := heap.Pop(&m.events).(event)
		m.now = e.time
		e.action()
	}

	return m.result
}

// arrivals schedules arrivals at a rate per slot, in a Poisson process whose rate follows intensity.
func (m *model) arrivals(intensity func(time.Duration) float64, ratePerSlot float64, action func()) {
	const maxIntensity = 8 // of all patterns

	rate := ratePerSlot * float64(m.settings.Workers*m.settings.Slots) * maxIntensity

	for t := time.Duration(0); ; {
		t += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		if t >= m.pattern.Length() {
			return
		}

		if m.random.Float64()*maxIntensity < intensity(t) {
			m.at(t, action)
		}
	}
}

// periodic does the periodic work of the slot owner while there is any.
func (m *model) periodic() {
	m.apply(m.pool.Expire(m.time()))

	if m.now < m.pattern.Length()+m.settings.Patience {
		m.at(m.now+tick, m.periodic)
	}
}

// change applies a change of the pattern to the daemons and workers.
func (m *model) change() {
	if m.pattern.IsDown(m.now) {
		m.epoch++
		m.pool = &pool.Pool{}

		for id, r := range m.running {
			delete(m.running, id)

			if r.item != nil { // its progress is in the log
				r.item.left -= m.now - r.began
				m.at(m.pattern.Changes()[1], func() { m.request(r.item) })
			} else {
				m.result.Failed++
			}
		}

		clear(m.waiting)
	} else {
		m.started = m.now
	}

	m.setTargets()
}

func (m *model) setTargets() {
	n := m.settings.Workers - int(m.pattern.LostWorkers(m.now)*float64(m.settings.Workers)+0.5) //nolint:mnd // rounds
	l := make([]pool.Target, 0, n)

	for i := range n {
		l = append(l, pool.NewTarget("w"+strconv.Itoa(i), "a", m.settings.Slots))
	}

	m.pool.SetTargets(l)
}

func (m *model) time() time.Time { return epoch.Add(m.now) }

// apply carries out the decisions of the pool.
func (m *model) apply(a pool.Actions) {
	for _, l := range a.Granted() {
		f, ok := m.waiting[l.ID()]
		if !ok {
			continue
		}

		delete(m.waiting, l.ID())
		f(l.Target())
	}

	for _, l := range a.Preempted() {
		n := m.epoch

		m.at(m.now+yieldTime, func() {
			r, ok := m.running[l.ID()]
			if !ok || n != m.epoch {
				return
			}

			r.item.left -= m.now - r.began
			m.release(l.ID(), pool.Unused)
			m.request(r.item)
		})
	}
}

// start begins work that ends after d unless it is preempted or lost. end is called at its end.
func (m *model) start(id, target string, i *item, d time.Duration, end func()) {
	n := m.epoch
	m.running[id] = &run{target: target, item: i, began: m.now}

	m.at(m.now+d, func() {
		if _, ok := m.running[id]; ok && n == m.epoch {
			m.release(id, pool.NoFault)
			end()
		}
	})
}

func (m *model) release(id string, f pool.Fault) {
	r := m.running[id]
	delete(m.running, id)
	m.apply(m.pool.Release(id, r.target, f, m.time()))
}

func (m *model) newID() string {
	m.lastID++

	return strconv.Itoa(m.lastID)
}

// request requests a slot for a batch item.
func (m *model) request(i *item) {
	if m.pattern.IsDown(m.now) {
		m.at(m.pattern.Changes()[1], func() { m.request(i) })

		return
	}

	id := m.newID()
	m.waiting[id] = func(target string) {
		m.start(id, target, i, i.left, func() {
			if m.now <= i.due {
				m.result.ItemsOnTime++
			} else {
				m.result.ItemsLate++
			}
		})
	}
	r := pool.NewSlotRequest(id, "vm", "a", pool.Batch, 0, epoch.Add(i.due)).WithRunTime(i.left)
	m.apply(m.pool.Request(r, m.time()))
}

// caller is a caller with its first attempt and the time until which it waits.
type caller struct {
	first, until time.Duration
	attempts     int
	refusedFast  bool // the first attempt was refused within a quarter of the objective
}

// call makes an attempt of a caller.
func (m *model) call(c *caller) {
	c.attempts++

	if m.pattern.IsDown(m.now) {
		m.at(m.now+connectTimeout, func() { m.callAgain(c) })

		return
	}

	began, id, n := m.now, m.newID(), m.epoch
	u := urgency.NewOnline(m.time(), epoch.Add(c.until), m.settings.Objective).
		WithWaited(began - c.first).WithDaemonAge(m.now - m.started).At(m.time())
	r := pool.NewSlotRequest(id, "vm", "a", pool.Online, 0, u.Due()).WithMaxWait(u.AdmissibleWait())

	if u.IsLate() {
		r = r.AsLate()
	}

	m.waiting[id] = func(target string) {
		m.count(c, m.now+startTime, began)
		m.start(id, target, nil, m.runTime(), func() {})
	}

	a := m.pool.Request(r, m.time())
	if a.IsRefused() {
		delete(m.waiting, id)
		m.refuse(c, began)

		return
	}

	m.apply(a)
	m.at(m.now+u.MaxWait(), func() {
		if _, ok := m.waiting[id]; ok && n == m.epoch {
			delete(m.waiting, id)
			m.apply(m.pool.Withdraw(id, m.time()))
			m.refuse(c, began)
		}
	})
}

func (m *model) runTime() time.Duration {
	return time.Duration((minSpread + runSpread*m.random.Float64()) * float64(m.settings.RunTime))
}

// refuse ends an attempt that began at began with a refusal.
func (m *model) refuse(c *caller, began time.Duration) {
	const fastDivisor = 4 // of the objective

	m.result.Refusals++
	c.refusedFast = m.now-began <= m.settings.Objective/fastDivisor
	m.at(m.now+urgency.RetryAfter(c.until-m.now, m.random.Float64()), func() { m.callAgain(c) })
}

// callAgain makes the next attempt of a caller, if it has one and waits still.
func (m *model) callAgain(c *caller) {
	if c.attempts >= attempts || m.now >= c.until {
		m.result.Failed++

		return
	}

	m.call(c)
}

// count counts the response to a caller, whose first event is sent at t. The attempt began at began.
func (m *model) count(c *caller, t, began time.Duration) {
	switch {
	case t-c.first <= m.settings.Objective:
		m.result.OnTime++
	case c.refusedFast && t-began <= m.settings.Objective:
		m.result.OnReturn++
	default:
		m.result.Late++
	}
}

// event is an action at a simulated time. Events at the same time are in the order of their creation.
type event struct {
	time   time.Duration
	number int
	action func()
}

type eventQueue []event

func (m *model) at(t time.Duration, f func()) {
	m.result.events++
	heap.Push(&m.events, event{time: t, number: m.result.events, action: f})
}

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less reports whether event i comes before event j.
func (q eventQueue) Less(i, j int) bool {
	return q[i].time < q[j].time || q[i].time == q[j].time && q[i].number < q[j].number
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	n := len(*q) - 1
	e := (*q)[n]
	*q = (*q)[:n]

	return e
}
