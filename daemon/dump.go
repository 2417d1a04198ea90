package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/stream"
)

// platformLog is the client of the platform's log.
type platformLog interface {
	Append(ctx context.Context, name string, data []byte) (int64, error)
	Read(ctx context.Context, name string, from int64, wait time.Duration) (stream.Page, error)
}

// monitoredLog forwards calls to the log and keeps the latency of the last append and the errors for the state dump. It
// is safe for concurrent use.
type monitoredLog struct {
	log platformLog

	mu            sync.Mutex
	appendLatency time.Duration
	appends       int64
	failedCalls   int64
	lastErr       error
}

// Append forwards an append and records its latency and error.
func (w *monitoredLog) Append(ctx context.Context, name string, data []byte) (int64, error) {
	start := time.Now()
	o, err := w.log.Append(ctx, name, data)

	w.mu.Lock()
	w.appendLatency = time.Since(start)
	w.appends++
	w.mu.Unlock()
	w.recordCall(ctx, err)

	return o, err
}

// Read forwards a read and records its error.
func (w *monitoredLog) Read(ctx context.Context, name string, from int64, wait time.Duration) (stream.Page, error) {
	p, err := w.log.Read(ctx, name, from, wait)
	w.recordCall(ctx, err)

	return p, err
}

// recordCall records the error of a call, nil if it succeeded. A call whose context has ended is ignored, as it does not
// show whether the log is available.
func (w *monitoredLog) recordCall(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.lastErr = err
	if err != nil {
		w.failedCalls++
	}
}

// dump returns the log section of the state dump.
func (w *monitoredLog) dump() any {
	w.mu.Lock()
	defer w.mu.Unlock()

	m := map[string]any{"available": w.lastErr == nil, "last_ms": w.appendLatency.Milliseconds(), "appends": w.appends, "failed_calls": w.failedCalls}
	if w.lastErr != nil {
		m["error"] = w.lastErr.Error()
	}

	return m
}

// dumpTLS returns the number of listeners with TLS and the errors of certificate files that could not be reloaded.
func (d *Daemon) dumpTLS() any {
	l := []string{}

	for _, f := range d.certificates {
		if err := f.Err(); err != nil {
			l = append(l, err.Error())
		}
	}

	return map[string]any{"listeners": len(d.certificates), "errors": l}
}

// jobRecord is a job in the state dump.
type jobRecord struct {
	ID       string    `json:"id"`
	Account  string    `json:"account"`
	Service  string    `json:"service"`
	State    string    `json:"state"`
	Deadline time.Time `json:"deadline"`
	Items    int       `json:"items"`
	Pending  int       `json:"pending"`
	AtRisk   bool      `json:"at_risk"`
}

// atRiskMargin is the time before its deadline from which on an unfinished job is shown as at risk.
const atRiskMargin = 15 * time.Minute

// maxDumpedJobs bounds the size of the state dump. There are more unfinished jobs only if a caller submits them by
// mistake.
const maxDumpedJobs = 5000

// dumpJobs returns the unfinished jobs of the followed partitions, at most maxDumpedJobs.
func (d *Daemon) dumpJobs() any {
	l := []jobRecord{}
	now := time.Now()

	v := d.journal.Load()
	if v == nil {
		return l
	}

	for _, p := range v.store.FollowedPartitions() {
		v.store.Replica(p).ViewJobs(func(j *job.Job) {
			if j.State() != job.Running && j.State() != job.Opening || len(l) >= maxDumpedJobs {
				return
			}

			l = append(l, jobRecord{
				ID: j.ID(), Account: j.Account(), Service: j.Service(), State: j.State().String(), Deadline: j.Deadline().UTC(),
				Items: j.ItemCount(), Pending: j.PendingCount(), AtRisk: j.Deadline().Sub(now) < atRiskMargin,
			})
		})
	}

	return l
}
