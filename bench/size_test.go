package bench_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/member"
	"github.com/agategap/agategap/wire"
)

// The planned size, from section 1.8 of docs/design.md. plannedDomainDaemons is the number of daemons in one failure
// domain.
const (
	plannedDaemons       = 340
	plannedWorkers       = 600
	plannedDomainDaemons = 43
	plannedAccounts      = 1500
	plannedModels        = 11
)

// BenchmarkSizes reports the encoded size of the larger control messages at the planned size.
func BenchmarkSizes(b *testing.B) {
	var l controller.ListReply
	for i := range plannedDaemons + plannedWorkers {
		l.Machines = append(l.Machines, controller.VMMessage{
			Name: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i%8, i/250, i%250),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7000", i%8, i/250, i%250), Domain: fmt.Sprintf("zone-%d", i%8),
			Region: fmt.Sprintf("region-%d", i%3), Service: fmt.Sprintf("model-%d", i%plannedModels), Target: i >= plannedDaemons,
		})
	}

	var m member.Message
	for i := range plannedDomainDaemons {
		m.Changes = append(m.Changes, member.Change{
			VM: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.0.%d:7000", i),
			Incarnation: uint64(time.Date(2026, 1, 1, i, 0, 0, 0, time.UTC).UnixMilli()), State: member.Live,
		})
	}

	var d config.Document
	for i := range plannedAccounts {
		// The hashes are as random as real ones, so that compression does not make the message smaller than in use.
		h := fmt.Sprintf("%016x%016x%016x%016x", hash64(i), hash64(i+1e6), hash64(i+2e6), hash64(i+3e6))
		d.Accounts = append(d.Accounts, config.AccountRecord{Name: fmt.Sprintf("account-%d", i), KeyHashes: []string{h}})
	}

	for i := range plannedModels {
		d.Services = append(d.Services, config.ServiceRecord{Name: fmt.Sprintf("model-%d", i), Kind: config.KindEngine})
	}

	text, err := config.Format(d)
	if err != nil {
		b.Fatal(err)
	}

	for b.Loop() {
		for n, v := range map[string]any{"list": l, "full_exchange": m, "config": controller.FetchReply{Version: config.Version{Text: text}}} {
			p, err := wire.Marshal(v)
			if err != nil {
				b.Fatal(err)
			}

			b.ReportMetric(float64(len(p)), n+"_bytes")
		}
	}
}

// hash64 returns a pseudorandom number that depends only on n.
func hash64(n int) uint64 {
	x := uint64(n)*0x9e3779b97f4a7c15 + 1
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9

	return x ^ x>>29
}
