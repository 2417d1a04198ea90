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
	// getTimeout bounds one call to an operator address.
	getTimeout = 5 * time.Second
	// maxDumpBytes bounds the response of a daemon.
	maxDumpBytes = 64 << 20
	// maxConcurrentFetches bounds the number of daemons that are queried at the same time.
	maxConcurrentFetches = 32
)

// daemonState is the state that one daemon reports. ready, notReadyReason and metrics are set only if they were
// fetched. err is the error of the first call that failed.
type daemonState struct {
	address        string
	dump           map[string]any
	rawDump        []byte
	ready          bool
	notReadyReason string
	metrics        map[string]*dto.MetricFamily
	err            error
}

// section returns a top-level object of the dump; nil if there is none.
func (d daemonState) section(name string) map[string]any {
	m, _ := d.dump[name].(map[string]any)

	return m
}

func (d daemonState) configVersion() int64 {
	n, _ := d.section("config")["version"].(float64)

	return int64(n)
}

// displayName returns the VM with the address, or only the address if the VM is not known.
func (d daemonState) displayName() string {
	if v, ok := d.section("daemon")["vm"].(string); ok && v != "" {
		return v + " (" + d.address + ")"
	}

	return d.address
}

// daemonAddresses returns the operator addresses in addressList, which are separated by commas. If there are none, it
// reads them from the daemons' records in the log of the platform at platformAddress, unless that is empty.
func daemonAddresses(ctx context.Context, addressList, platformAddress string) ([]string, error) {
	var l []string

	for a := range strings.SplitSeq(addressList, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}

		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, outcome.New(outcome.InvalidRequest, outcome.NotRun, "%q is not an IP address with a port", a)
		}

		l = append(l, a)
	}

	if len(l) > 0 || platformAddress == "" {
		return l, nil
	}

	var r operatorAddressSink

	if err := keyed.New(platform.NewStore(platformAddress), platform.TopicMembers, 0, &r, zerolog.Nop()).Sync(ctx); err != nil {
		return nil, fmt.Errorf("the daemons' records in the log cannot be read; set -daemons to their addresses: %w", err)
	}

	if len(r) == 0 {
		return nil, outcome.New(outcome.NotFound, outcome.NotRun, "the log has no record of a daemon; set -daemons to their addresses")
	}

	l = r

	slices.Sort(l)

	return l, nil
}

// operatorAddressSink collects the operator addresses from the daemons' records. It is the sink of a keyed.Consumer.
type operatorAddressSink []string

// Reset adds the addresses of all records.
func (r *operatorAddressSink) Reset(l []stream.KeyedRecord, _ int64) {
	for _, k := range l {
		r.Apply(k)
	}
}

// Apply adds the address of one record. A record that cannot be decoded or has no operator address is skipped.
func (r *operatorAddressSink) Apply(k stream.KeyedRecord) {
	var v mesh.Record
	if err := wire.Unmarshal(k.Value(), &v); err == nil && v.Operator != "" {
		*r = append(*r, v.Operator)
	}
}

// fetchStates returns the states of daemons in the order of their addresses, with readiness and metrics if withMetrics
// is set.
func fetchStates(ctx context.Context, addresses []string, withMetrics bool) []daemonState {
	l := make([]daemonState, len(addresses))
	semaphore := make(chan struct{}, maxConcurrentFetches)

	var wg sync.WaitGroup

	for i, a := range addresses {
		semaphore <- struct{}{}

		wg.Go(func() {
			defer func() { <-semaphore }()

			l[i] = fetchState(ctx, a, withMetrics)
		})
	}

	wg.Wait()

	return l
}

func fetchState(ctx context.Context, address string, withMetrics bool) daemonState {
	d := daemonState{address: address}

	if _, d.rawDump, d.err = get(ctx, "http://"+address+"/dump"); d.err != nil {
		return d
	}

	if d.err = json.Unmarshal(d.rawDump, &d.dump); d.err != nil || !withMetrics {
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

// get returns the status and body of a daemon's response. 200 and 503 are valid, as /ready responds with 503 while the
// daemon is not ready; any other status is an error.
func get(ctx context.Context, url string) (int, []byte, error) {
	x, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(x, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, outcome.New(outcome.InvalidRequest, outcome.NotRun, "the address of the daemon is invalid").WithCause(err)
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
