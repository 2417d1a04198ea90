package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/agategap/agategap/standin/caller"
)

const (
	// deadlyPart is the part of prompts that crashes each worker that begins a response to it.
	deadlyPart = "dead"
	// documentCount is the number of different parts in the place of deadlyPart in other prompts.
	documentCount = 4
	// samePromptShare is the share of failed requests after which a client sends the same prompt again, under a new ID.
	samePromptShare = 0.5
	// deadlyClientCount is the number of clients that send prompts with deadlyPart.
	deadlyClientCount = 2
	// meanDeadlyPause is the mean pause between two prompts of such a client.
	meanDeadlyPause = 400 * time.Millisecond
	// maxDeadlyAttempts is the number of times that such a client sends a prompt, deadlyRetryDelay apart.
	maxDeadlyAttempts = 4
	deadlyRetryDelay  = 100 * time.Millisecond
	// ownPrefix starts the own parts of these prompts, so that no shared part is the same.
	ownPrefix = "own-"
	// deadlyJobShare is the share of jobs with deadly items in a phase of them. Such a job has one or two.
	deadlyJobShare = 0.5
)

// promptPlan says which prompts have deadlyPart now. The zero value says that none has. It is safe for concurrent use.
type promptPlan struct {
	mu            sync.Mutex
	active, drawn map[FaultKind]bool // DeadlyOnline and DeadlyItems: now, and at any time so far
	sound         map[string]bool    // IDs of the items without deadlyPart
}

// addItems adds the items of a job.
func (p *promptPlan) addItems(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.sound == nil {
		p.sound = map[string]bool{}
	}

	for i := range j.items {
		if id := j.itemID(i); !j.deadly[id] {
			p.sound[id] = true
		}
	}
}

// isSoundItem reports whether a run is that of an item without deadlyPart.
func (p *promptPlan) isSoundItem(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.sound[id]
}

// setDeadly starts or ends a phase of a kind.
func (p *promptPlan) setDeadly(k FaultKind, active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.active == nil {
		p.active, p.drawn = map[FaultKind]bool{}, map[FaultKind]bool{}
	}

	p.active[k] = active
	p.drawn[k] = true
}

func (p *promptPlan) isDeadly(k FaultKind) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.active[k]
}

// repeat starts all phases again that there have been, and reports whether there were any.
func (p *promptPlan) repeat() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	for k := range p.drawn {
		p.active[k] = true
	}

	return len(p.drawn) > 0
}

// encodePrompt returns the header value with the parts that a prompt shares with others of its route and of its
// client, a third shared part, and its own part.
func encodePrompt(route, client, third, own string) string {
	return fmt.Sprintf("%x:100,%x:80,%s:50,%x:20", route, client, third, own)
}

// promptSource gives the prompts of one client. They are drawn apart from the rest of the load, which a seed gives
// unchanged.
type promptSource struct {
	random *rand.Rand
	client string
	again  string // own part of the previous prompt, if it is sent again
}

func newPromptSource(seed, number uint64, client string) *promptSource {
	return &promptSource{random: rand.New(rand.NewPCG(seed, number)), client: client} //nolint:gosec // reproducible load
}

// next returns the prompt of the request with an ID on a route. After a failure it may have the own part of the previous
// one.
func (s *promptSource) next(route, id string) string {
	if s.again == "" {
		s.again = id
	}

	return s.sound(route, s.again)
}

// end records whether the request with the latest prompt was served.
func (s *promptSource) end(served bool) {
	if served || s.random.Float64() >= samePromptShare {
		s.again = ""
	}
}

// sound returns a prompt that crashes no worker.
func (s *promptSource) sound(route, own string) string {
	return encodePrompt(route, s.client, fmt.Sprintf("d%d", s.random.IntN(documentCount)), own)
}

// items returns the prompts of the items of a job, and the IDs of those with deadlyPart, which there are only if active.
func (s *promptSource) items(j *job, active bool) ([]string, map[string]bool) {
	l, deadly := make([]string, j.items), map[string]bool{}

	if active && s.random.Float64() < deadlyJobShare {
		for range 1 + s.random.IntN(2) { //nolint:mnd // one or two items
			deadly[j.itemID(s.random.IntN(j.items))] = true
		}
	}

	for i := range l {
		id := j.itemID(i)
		if deadly[id] {
			l[i] = encodePrompt("batch", s.client, deadlyPart, id)
		} else {
			l[i] = s.sound("batch", id)
		}
	}

	return l, deadly
}

// runDeadly sends prompts with deadlyPart, each several times under new IDs, while a phase of them is active, until ctx
// is done.
func (x *callers) runDeadly(ctx context.Context, r *rand.Rand, client string) {
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-time.After(time.Duration(r.ExpFloat64() * float64(meanDeadlyPause))):
		case <-ctx.Done():
			return
		}

		route := "again"
		if r.IntN(4) == 0 { //nolint:mnd // a quarter must not run twice
			route = "once"
		}

		prompt := encodePrompt(route, client, deadlyPart, fmt.Sprint(ownPrefix, client, "-", n))

		for range maxDeadlyAttempts {
			if !x.deployment.prompts.isDeadly(DeadlyOnline) || ctx.Err() != nil {
				break
			}

			x.sendDeadly(ctx, r.IntN(len(x.deployment.daemons)), route, prompt)
			time.Sleep(deadlyRetryDelay)
		}
	}
}

// sendDeadly sends a prompt with deadlyPart to daemon n.
func (x *callers) sendDeadly(ctx context.Context, n int, route, prompt string) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	id := fmt.Sprintf("x%d", x.requestCount.Add(1))

	x.mu.Lock()
	x.repeatable[id] = route == "again"
	x.deadly[id] = n
	x.mu.Unlock()

	sentAt := time.Now()
	a := c.SendRequest(ctx, x.deployment.daemons[n].callerAddress, "/"+route+"/x", id, prompt)

	if ctx.Err() == nil {
		x.recorder.Count(fmt.Sprint("deadly answer ", a.Status()))
		x.checkResponse(id, n, sentAt, a)
	}
}

// isItemOf reports whether an item belongs to a job.
func isItemOf(item, job string) bool { return strings.HasPrefix(item, job+".") }
