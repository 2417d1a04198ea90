package bench_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/demo"
	"github.com/agategap/agategap/standin/engine"
)

// BenchmarkEntryPoint measures the processor time that a daemon adds to a streamed request. It subtracts the time of
// requests that are sent to an engine directly from the time of the same requests through a daemon.
func BenchmarkEntryPoint(b *testing.B) {
	d, err := demo.Start(context.Background(), demo.Options{
		Domains: []string{"a"}, Daemons: 2, Workers: 2,
		Engine: engine.Options{StepBase: 200 * time.Microsecond, MaxStreams: 64},
	}, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { d.Stop(); _ = d.Wait() }()

	x, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()

	if err := d.WaitReady(x); err != nil {
		b.Fatal(err)
	}

	for _, tokens := range []int{10, 200} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			direct := cpuSecondsOfRequests(b, d.EngineAddress(0), tokens)
			through := cpuSecondsOfRequests(b, d.CallerAddress(0), tokens)

			b.ReportMetric((through-direct)/float64(b.N)*1e6, "daemon_us/request")
			b.ReportMetric(direct/float64(b.N)*1e6, "direct_us/request")
		})
	}
}

// cpuSecondsOfRequests returns the processor time of this process while it sends b.N requests, in seconds.
func cpuSecondsOfRequests(b *testing.B, address string, tokens int) float64 {
	b.Helper()

	const clients = 16

	before := processCPUSeconds()
	semaphore := make(chan struct{}, clients)

	var wg sync.WaitGroup

	for i := range b.N {
		semaphore <- struct{}{}

		wg.Go(func() {
			defer func() { <-semaphore }()

			if err := streamCompletion(address, i, tokens); err != nil {
				b.Error(err)
			}
		})
	}

	wg.Wait()

	return processCPUSeconds() - before
}

// streamCompletion sends a streamed chat completion with a response of the given number of tokens.
func streamCompletion(address string, i, tokens int) error {
	t := fmt.Sprintf(`{"model":"signwriter","stream":true,"messages":[{"role":"user","content":"%d tokens=%d"}]}`, i, tokens)

	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(t))
	if err != nil {
		return err
	}

	r.Header.Set("Authorization", "Bearer "+demo.Key)
	r.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d-%d", address, i, tokens))

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()

	v, err := io.ReadAll(a.Body)
	if err == nil && !strings.HasSuffix(string(v), "data: [DONE]\n\n") {
		err = fmt.Errorf("status %d, %d bytes, no end marker", a.StatusCode, len(v))
	}

	return err
}

// processCPUSeconds returns the user and system time of this process.
func processCPUSeconds() float64 {
	var u syscall.Rusage

	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)

	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
