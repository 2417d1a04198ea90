package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rs/zerolog"

	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

const (
	// getTimeout bounds a call of an operator address.
	getTimeout = 5 * time.Second
	// maxDumpBytes bounds the answer of a daemon.
	maxDumpBytes = 64 << 20
	// maxConcurrentFetches bounds the daemons that are asked at a time.
	maxConcurrentFetches = 32
)

// daemonState is what one daemon says about itself.
type daemonState struct {
	address string
	dump    map[string]any
	rawDump     []byte
	ready   bool
	notReadyReason  string
	metrics map[string]*dto.MetricFamily
	err     error
}

// section returns a part of the dump.
func (d daemonState) section(name string) map[string]any {
	m, _ := d.dump[name].(map[string]any)

	return m
}

func (d daemonState) configVersion() int64 {
	n, _ := d.section("config")["version"].(float64)

	return int64(n)
}

// displayName returns the VM and the address.
func (d daemonState) displayName() string {
	if v, ok := d.section("daemon")["vm"].(string); ok && v != "" {
		return v + " (" + d.address + ")"
	}

	return d.address
}

// daemonAddresses returns the operator addresses that an operator gave, else those of the daemons' records in the log of a
// platform, if its address is given.
func daemonAddresses(ctx context.Context, given, platformAddress string) ([]string, error) {
	var l []string

	for a := range strings.SplitSeq(given, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}

		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, outcome.New(outcome.InvalidRequest, outcome.NotRun, "%q is not an IP number with a port", a)
		}

		l = append(l, a)
	}

	if len(l) > 0 || platformAddress == "" {
		return l, nil
	}

	var r operatorAddressSink

	if err := keyed.New(platform.NewStore(platformAddress), platform.TopicMembers, 0, &r, zerolog.Nop()).Sync(ctx); err != nil {
		return nil, fmt.Errorf("the records of the daemons cannot be read; give the addresses with -daemons: %w", err)
	}

	if len(r) == 0 {
		return nil, outcome.New(outcome.NotFound, outcome.NotRun, "no daemon is recorded in the log; give the addresses with -daemons")
	}

	l = r

	slices.Sort(l)

	return l, nil
}

// operatorAddressSink collects the operator addresses of daemons.
type operatorAddressSink []string

// Reset takes the records of all daemons.
func (r *operatorAddressSink) Reset(l []stream.KeyedRecord, _ int64) {
	for _, k := range l {
		r.Apply(k)
	}
}

// Apply takes the record of a daemon. One that names none has no address.
func (r *operatorAddressSink) Apply(k stream.KeyedRecord) {
	var v mesh.Record
	if err := wire.Unmarshal(k.Value(), &v); err == nil && v.Operator != "" {
		*r = append(*r, v.Operator)
	}
}

// fetchStates asks daemons for their state; all asks for readiness and metrics too. The answers are in the order of the
// addresses.
func fetchStates(ctx context.Context, addresses []string, all bool) []daemonState {
	l := make([]daemonState, len(addresses))
	gate := make(chan struct{}, maxConcurrentFetches)

	var wg sync.WaitGroup

	for i, a := range addresses {
		gate <- struct{}{}

		wg.Go(func() {
			defer func() { <-gate }()

			l[i] = fetchState(ctx, a, all)
		})
	}

	wg.Wait()

	return l
}

func fetchState(ctx context.Context, address string, all bool) daemonState {
	d := daemonState{address: address}

	if _, d.rawDump, d.err = get(ctx, "http://"+address+"/dump"); d.err != nil {
		return d
	}

	if d.err = json.Unmarshal(d.rawDump, &d.dump); d.err != nil || !all {
		return d
	}

	s, b, err := get(ctx, "http://"+address+"/ready")
	if err != nil {
		d.err = err

		return d
	}

	var r struct {
		Reason string `json:"reason"`
	}

	_ = json.Unmarshal(b, &r)
	d.ready, d.notReadyReason = s == http.StatusOK, r.Reason

	if _, b, d.err = get(ctx, "http://"+address+"/metrics"); d.err == nil {
		var p expfmt.TextParser

		d.metrics, d.err = p.TextToMetricFamilies(bytes.NewReader(b))
	}

	return d
}

// get returns the answer of a daemon. A status of 503 is an answer of /ready, every other one but 200 an error.
func get(ctx context.Context, url string) (int, []byte, error) {
	x, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(x, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, outcome.New(outcome.InvalidRequest, outcome.NotRun, "the address is not valid").WithCause(err)
	}

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = a.Body.Close() }()

	if a.StatusCode != http.StatusOK && a.StatusCode != http.StatusServiceUnavailable {
		return a.StatusCode, nil, fmt.Errorf("%s: status %d", url, a.StatusCode)
	}

	b, err := io.ReadAll(io.LimitReader(a.Body, maxDumpBytes))

	return a.StatusCode, b, err
}
