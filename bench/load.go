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

// arrival is one request of a load, planned before the run. It is sent at offset from the start of the phase.
type arrival struct {
	offset time.Duration
	tokens int
	long   bool
}

// load describes an open-loop load: each request is sent at its planned time, without waiting for earlier responses.
type load struct {
	rate         float64       // requests a second, outside bursts
	burstFactor  float64       // factor on the rate within bursts; 0 for no bursts
	medianTokens int           // median size of a response in tokens
	sigma        float64       // sigma of the lognormal distribution of sizes
	longShare    float64       // share of requests that are long
	longFactor   int           // size of the response to a long request as a multiple of medianTokens
	deadline     time.Duration // time that each request may take
}

// Bursts take the first second of every four. maxTokens bounds the size of a response.
const (
	burstInterval = 4 * time.Second
	burstDuration = time.Second
	maxTokens     = 4000
)

// planArrivals draws the arrivals of a Poisson process within d, and the sizes of their responses.
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

// meanTokens returns the mean size of a response, ignoring maxTokens.
func (l load) meanTokens() float64 {
	m := float64(l.medianTokens) * math.Exp(l.sigma*l.sigma/2)

	return m*(1-l.longShare) + l.longShare*float64(l.medianTokens*l.longFactor)
}

// measurement has the results of one phase. mu guards the counts and histograms while requests run.
type measurement struct {
	mu                sync.Mutex
	shortLatency      *hdrhistogram.Histogram // total latency of short requests, microseconds
	firstTokenLatency *hdrhistogram.Histogram // time to the first token of short requests, microseconds
	tokens            int
	responses         int
	withinDeadline    int // responses that met their deadline
	failed            int
	errorCounts       map[string]int // failed requests by error
	duration          time.Duration  // of the phase
}

// Range of the latency histograms in microseconds, and their precision.
const (
	minLatency        = 1
	maxLatency        = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newMeasurement(d time.Duration) *measurement {
	return &measurement{
		shortLatency: hdrhistogram.New(minLatency, maxLatency, significantDigits), firstTokenLatency: hdrhistogram.New(minLatency, maxLatency, significantDigits),
		errorCounts: map[string]int{}, duration: d,
	}
}

const p99Quantile = 99

// p99 returns the 99th percentile of the latency of short requests in microseconds.
func (m *measurement) p99() float64 { return float64(m.shortLatency.ValueAtQuantile(p99Quantile)) }

// goodput returns the number of responses a second that met their deadline.
func (m *measurement) goodput() float64 { return float64(m.withinDeadline) / m.duration.Seconds() }

// figures returns the results under names that begin with prefix. The latencies are those of short requests.
func (m *measurement) figures(prefix string) []Figure {
	const usPerMs = 1000

	return []Figure{
		NewFigure(prefix+"_p50_ms", float64(m.shortLatency.ValueAtQuantile(50))/usPerMs), //nolint:mnd // median
		NewFigure(prefix+"_p99_ms", m.p99()/usPerMs),
		NewFigure(prefix+"_first_token_p95_ms", float64(m.firstTokenLatency.ValueAtQuantile(95))/usPerMs), //nolint:mnd // 95th percentile
		NewFigure(prefix+"_answers", float64(m.responses)),
		NewFigure(prefix+"_failed", float64(m.failed)),
		NewFigure(prefix+"_goodput_per_s", m.goodput()),
	}
}

// client sends requests as callers do, to the daemons in turn, as a load balancer distributes them.
type client struct {
	demo *demo.Demo
	http *http.Client
}

func newClient(d *demo.Demo) *client {
	const maxIdleConns = 512

	return &client{demo: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}}
}

// runLoad sends the planned arrivals and waits for all responses. If ctx ends before the last arrival is sent, it
// returns without waiting. d is the duration of the phase.
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

// send sends request i and records its result in m. The latency counts from plannedAt, so that a request that is sent
// late has a higher latency.
func (c *client) send(ctx context.Context, l load, i int, a arrival, plannedAt time.Time, m *measurement) {
	x, cancel := context.WithTimeout(ctx, l.deadline+time.Second)
	defer cancel()

	first, n, err := c.streamCompletion(x, l, i, a)
	latency := time.Since(plannedAt)

	m.mu.Lock()
	defer m.mu.Unlock()

	if err != nil {
		m.failed++
		m.errorCounts[err.Error()]++

		return
	}

	m.responses++
	m.tokens += n

	if latency <= l.deadline {
		m.withinDeadline++
	}

	if !a.long {
		_ = m.shortLatency.RecordValue(latency.Microseconds())
		_ = m.firstTokenLatency.RecordValue(first.Sub(plannedAt).Microseconds())
	}
}

// streamCompletion sends request i, a streamed chat completion, and returns the time of the first token and the number
// of tokens.
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
		return time.Time{}, 0, fmt.Errorf("no response")
	}
	defer func() { _ = v.Body.Close() }()

	if v.StatusCode != http.StatusOK {
		return time.Time{}, 0, fmt.Errorf("status %d", v.StatusCode)
	}

	return readStream(v)
}

// readStream reads an event stream to its end and returns the time of the first token and the number of tokens. It
// returns an error if the stream has an error event or no end marker.
func readStream(v *http.Response) (time.Time, int, error) {
	var first time.Time

	n, complete := 0, false

	for s := bufio.NewScanner(v.Body); s.Scan(); {
		switch {
		case bytes.HasPrefix(s.Bytes(), []byte(`data: {"error"`)):
			return first, n, fmt.Errorf("stream ended with an error")
		case bytes.HasPrefix(s.Bytes(), []byte("data: {")):
			if n == 0 {
				first = time.Now()
			}

			n++
		case bytes.Equal(s.Bytes(), []byte("data: [DONE]")):
			complete = true
		}
	}

	if !complete {
		return first, n, fmt.Errorf("stream without end marker")
	}

	return first, n, nil
}
