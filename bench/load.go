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
	offset     time.Duration
	tokens int
	long   bool
}

// load describes an open-loop load: arrivals do not wait for answers.
type load struct {
	rate      float64       // requests a second, outside bursts
	burstFactor     float64       // factor on the rate within bursts; 0 for none
	medianTokens    int           // median size of an answer in tokens
	sigma     float64       // spread of the lognormal size
	longShare float64       // share of requests that are long
	longFactor int           // how many times longer they are
	deadline  time.Duration // deadline of each request
}

// Bursts: one second in every four.
const (
	burstInterval  = 4 * time.Second
	burstDuration = time.Second
	maxTokens   = 4000
)

// planArrivals returns the arrivals of a load over d.
func (l load) planArrivals(r *rand.Rand, d time.Duration) []arrival {
	var p []arrival

	for t := time.Duration(0); ; {
		f := l.rate
		if l.burstFactor > 0 && t%burstInterval < burstDuration {
			f *= l.burstFactor
		}

		t += time.Duration(r.ExpFloat64() / f * float64(time.Second))
		if t >= d {
			return p
		}

		n := int(float64(l.medianTokens) * math.Exp(l.sigma*r.NormFloat64()))
		a := arrival{offset: t, tokens: max(1, n)}

		if r.Float64() < l.longShare {
			a.tokens, a.long = l.medianTokens*l.longFactor, true
		}

		a.tokens = min(a.tokens, maxTokens)
		p = append(p, a)
	}
}

// meanTokens returns the mean size of an answer.
func (l load) meanTokens() float64 {
	m := float64(l.medianTokens) * math.Exp(l.sigma*l.sigma/2)

	return m*(1-l.longShare) + l.longShare*float64(l.medianTokens*l.longFactor)
}

// measurement is what a phase showed.
type measurement struct {
	mu        sync.Mutex
	shortLatency     *hdrhistogram.Histogram // whole latency of short requests, microseconds
	firstTokenLatency     *hdrhistogram.Histogram // time to the first token of short requests, microseconds
	tokens    int
	responses   int
	withinDeadline    int
	failed    int
	errorCounts map[string]int
	duration    time.Duration
}

const (
	minLatency = 1
	maxLatency  = int64(10 * time.Minute / time.Microsecond)
	significantDigits    = 3
)

func newMeasurement(d time.Duration) *measurement {
	return &measurement{
		shortLatency: hdrhistogram.New(minLatency, maxLatency, significantDigits), firstTokenLatency: hdrhistogram.New(minLatency, maxLatency, significantDigits),
		errorCounts: map[string]int{}, duration: d,
	}
}

const p99Quantile = 99

func (m *measurement) p99() float64 { return float64(m.shortLatency.ValueAtQuantile(p99Quantile)) }

// goodput returns the answers within their deadline, a second.
func (m *measurement) goodput() float64 { return float64(m.withinDeadline) / m.duration.Seconds() }

func (m *measurement) figures(prefix string) []Figure {
	const ms = 1000

	return []Figure{
		NewFigure(prefix+"_p50_ms", float64(m.shortLatency.ValueAtQuantile(50))/ms), //nolint:mnd // median
		NewFigure(prefix+"_p99_ms", m.p99()/ms),
		NewFigure(prefix+"_first_token_p95_ms", float64(m.firstTokenLatency.ValueAtQuantile(95))/ms), //nolint:mnd // 95th percentile
		NewFigure(prefix+"_answers", float64(m.responses)),
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

// runLoad sends the planned arrivals and waits for all answers.
func (c *client) runLoad(ctx context.Context, l load, p []arrival, d time.Duration) *measurement {
	m := newMeasurement(d)
	start := time.Now()

	var wg sync.WaitGroup

	for i, a := range p {
		select {
		case <-time.After(time.Until(start.Add(a.offset))):
		case <-ctx.Done():
			return m
		}

		wg.Go(func() { c.send(ctx, l, i, a, start.Add(a.offset), m) })
	}

	wg.Wait()

	return m
}

// send makes one request. Its latency counts from the time at which it should have been sent.
func (c *client) send(ctx context.Context, l load, i int, a arrival, due time.Time, m *measurement) {
	x, cancel := context.WithTimeout(ctx, l.deadline+time.Second)
	defer cancel()

	first, n, err := c.streamCompletion(x, l, i, a)
	end := time.Since(due)

	m.mu.Lock()
	defer m.mu.Unlock()

	if err != nil {
		m.failed++
		m.errorCounts[err.Error()]++

		return
	}

	m.responses++
	m.tokens += n

	if end <= l.deadline {
		m.withinDeadline++
	}

	if !a.long {
		_ = m.shortLatency.RecordValue(end.Microseconds())
		_ = m.firstTokenLatency.RecordValue(first.Sub(due).Microseconds())
	}
}

// streamCompletion returns the time of the first token and the number of tokens.
func (c *client) streamCompletion(ctx context.Context, l load, i int, a arrival) (time.Time, int, error) {
	b := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"request %d tokens=%d %s"}]}`,
		c.demo.ServiceName(), i, a.tokens, strings.Repeat("bay ", 30)) //nolint:mnd // a prompt of about 40 tokens

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.demo.CallerAddress(i)+"/v1/chat/completions", strings.NewReader(b))
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
