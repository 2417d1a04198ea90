package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agategap/agategap/demo"
)

// arrival is one request of a load, planned before the run.
type arrival struct {
	at     time.Duration
	tokens int
	long   bool
}

// load describes an open-loop load: arrivals do not wait for answers.
type load struct {
	rate      float64       // requests a second, outside bursts
	burst     float64       // factor on the rate within bursts; 0 for none
	median    int           // median size of an answer in tokens
	sigma     float64       // spread of the lognormal size
	longShare float64       // share of requests that are long
	longTimes int           // how many times longer they are
	deadline  time.Duration // deadline of each request
}

// Bursts: one second in every four.
const (
	burstEvery  = 4 * time.Second
	burstLength = time.Second
	maxTokens   = 4000
)

// plan returns the arrivals of a load over d.
func (l load) plan(r *rand.Rand, d time.Duration) []arrival {
	var p []arrival

	for t := time.Duration(0); ; {
		f := l.rate
		if l.burst > 0 && t%burstEvery < burstLength {
			f *= l.burst
		}

		t += time.Duration(r.ExpFloat64() / f * float64(time.Second))
		if t >= d {
			return p
		}

		n := int(float64(l.median) * math.Exp(l.sigma*r.NormFloat64()))
		a := arrival{at: t, tokens: max(1, n)}

		if r.Float64() < l.longShare {
			a.tokens, a.long = l.median*l.longTimes, true
		}

		a.tokens = min(a.tokens, maxTokens)
		p = append(p, a)
	}
}

// meanTokens returns the mean size of an answer.
func (l load) meanTokens() float64 {
	m := float64(l.median) * math.Exp(l.sigma*l.sigma/2)

	return m*(1-l.longShare) + l.longShare*float64(l.median*l.longTimes)
}

// measured is what a phase showed.
type measured struct {
	mu        sync.Mutex
	short     *hdrhistogram.Histogram // whole latency of short requests, microseconds
	first     *hdrhistogram.Histogram // time to the first token of short requests, microseconds
	tokens    int
	answers   int
	inTime    int
	failed    int
	lateOrBad map[string]int
	window    time.Duration
}

const (
	leastLatency = 1
	mostLatency  = int64(10 * time.Minute / time.Microsecond)
	precision    = 3
)

func newMeasured(d time.Duration) *measured {
	return &measured{
		short: hdrhistogram.New(leastLatency, mostLatency, precision), first: hdrhistogram.New(leastLatency, mostLatency, precision),
		lateOrBad: map[string]int{}, window: d,
	}
}

const p99 = 99

func (m *measured) p99() float64 { return float64(m.short.ValueAtQuantile(p99)) }

// goodput returns the answers within their deadline, a second.
func (m *measured) goodput() float64 { return float64(m.inTime) / m.window.Seconds() }

func (m *measured) figures(prefix string) []Figure {
	const ms = 1000

	return []Figure{
		NewFigure(prefix+"_p50_ms", float64(m.short.ValueAtQuantile(50))/ms), //nolint:mnd // median
		NewFigure(prefix+"_p99_ms", m.p99()/ms),
		NewFigure(prefix+"_first_token_p95_ms", float64(m.first.ValueAtQuantile(95))/ms), //nolint:mnd // 95th percentile
		NewFigure(prefix+"_answers", float64(m.answers)),
		NewFigure(prefix+"_failed", float64(m.failed)),
		NewFigure(prefix+"_goodput_per_s", m.goodput()),
	}
}

// client sends requests as callers do, spread over the daemons like a balancer does.
type client struct {
	demo *demo.Demo
	http *http.Client
}

func newClient(d *demo.Demo) *client {
	const conns = 512

	return &client{demo: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns}}}
}

// run sends the planned arrivals and waits for all answers.
func (c *client) run(ctx context.Context, l load, p []arrival, d time.Duration) *measured {
	m := newMeasured(d)
	start := time.Now()

	var wg sync.WaitGroup

	for i, a := range p {
		select {
		case <-time.After(time.Until(start.Add(a.at))):
		case <-ctx.Done():
			return m
		}

		wg.Go(func() { c.send(ctx, l, i, a, start.Add(a.at), m) })
	}

	wg.Wait()

	return m
}

// send makes one request. Its latency counts from the time at which it should have been sent.
func (c *client) send(ctx context.Context, l load, i int, a arrival, due time.Time, m *measured) {
	x, cancel := context.WithTimeout(ctx, l.deadline+time.Second)
	defer cancel()

	first, n, err := c.exchange(x, l, i, a)
	end := time.Since(due)

	m.mu.Lock()
	defer m.mu.Unlock()

	if err != nil {
		m.failed++
		m.lateOrBad[err.Error()]++

		return
	}

	m.answers++
	m.tokens += n

	if end <= l.deadline {
		m.inTime++
	}

	if !a.long {
		_ = m.short.RecordValue(end.Microseconds())
		_ = m.first.RecordValue(first.Sub(due).Microseconds())
	}
}

// exchange returns the time of the first token and the number of tokens.
func (c *client) exchange(ctx context.Context, l load, i int, a arrival) (time.Time, int, error) {
	b := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"request %d tokens=%d %s"}]}`,
		c.demo.Service(), i, a.tokens, strings.Repeat("bay ", 30)) //nolint:mnd // a prompt of about 40 tokens

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.demo.Caller(i)+"/v1/chat/completions", strings.NewReader(b))
	if err != nil {
		return time.Time{}, 0, err
	}

	r.Header.Set("Authorization", "Bearer "+demo.Key)
	r.Header.Set("X-Request-Timeout", fmt.Sprintf("%g", l.deadline.Seconds()))

	v, err := c.http.Do(r)
	if err != nil {
		return time.Time{}, 0, fmt.Errorf("no answer")
	}
	defer func() { _ = v.Body.Close() }()

	if v.StatusCode != http.StatusOK {
		return time.Time{}, 0, fmt.Errorf("status %d", v.StatusCode)
	}

	return readStream(v)
}

func readStream(v *http.Response) (time.Time, int, error) {
	var first time.Time

	n, whole := 0, false

	for s := bufio.NewScanner(v.Body); s.Scan(); {
		switch {
		case bytes.HasPrefix(s.Bytes(), []byte(`data: {"error"`)):
			return first, n, fmt.Errorf("stream ended in an error")
		case bytes.HasPrefix(s.Bytes(), []byte("data: {")):
			if n == 0 {
				first = time.Now()
			}

			n++
		case bytes.Equal(s.Bytes(), []byte("data: [DONE]")):
			whole = true
		}
	}

	if !whole {
		return first, n, fmt.Errorf("stream without end marker")
	}

	return first, n, nil
}
