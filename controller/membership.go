package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/member"
	"github.com/agategap/agategap/shard"
)

// MemberClient calls net/rpc methods of other daemons.
type MemberClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ConfigVersions has the configuration version in force and accepts versions from peers.
type ConfigVersions interface {
	InForce() config.AdoptedVersion
	// Receive takes the version at an offset of the log. It fails if the version is invalid.
	Receive(offset int64, v config.Version) error
}

// VMListCache keeps the last list of VMs. Targets implements it.
type VMListCache interface {
	VMs() []VM
	UpdateVMs(l []VM, age time.Duration)
	UpdatePool()
}

const (
	// gossipInterval is the period at which the peer table is asked for due messages, a quarter of the probe interval.
	gossipInterval = 125 * time.Millisecond
	// fetchDelay gives the platform time to deliver a version or a list before a peer is asked for it, so that normally
	// no peer is asked.
	fetchDelay = time.Second
	// fetchTimeout bounds the transfer of a configuration or a list from a peer.
	fetchTimeout = 5 * time.Second
	// listReaderCount is the number of daemons of a failure domain that read the platform's list. The others get it from
	// peers. A read of 940 entries is about 100 KB; if every daemon read the list, the control traffic would be far above
	// 2 KB/s.
	listReaderCount = 2
	// maxListAge is the age of the list above which a daemon reads it itself, even if it is not one of the readers.
	maxListAge = 10 * time.Second
	// initialListTimeout is how long a daemon that has just started waits for a list of VMs. Then it uses the peers that
	// it has heard of.
	initialListTimeout = 5 * time.Second
	// leaveNoticeCount is the number of peers to which a leaving daemon sends a heartbeat at once.
	leaveNoticeCount = 4
)

// Membership runs the peer table: it sends the messages that are due, and fetches the configuration and the list of VMs
// from peers that have newer ones. It is safe for concurrent use.
type Membership struct {
	table    *member.Table
	settings member.Settings
	client   MemberClient
	versions ConfigVersions
	vmList   VMListCache
	logger   zerolog.Logger
	ctx      context.Context //nolint:containedctx // ends with Run; for calls that replies and heartbeats cause
	stop     context.CancelFunc
	calls    sync.WaitGroup

	fetchingConfig, fetchingList atomic.Bool
	configFetches, listFetches   atomic.Int64

	randomMu sync.Mutex
	random   *rand.Rand

	mu      sync.Mutex
	ready   bool // a list is known, or initialListTimeout has passed
	closed  bool
	viewVersion uint64
	peers   []Peer
	changed chan struct{}
}

// NewMembership returns the controller. r is a random source for its exclusive use.
func NewMembership(s member.Settings, c MemberClient, v ConfigVersions, k VMListCache, r *rand.Rand, z zerolog.Logger) *Membership {
	ctx, stop := context.WithCancel(context.Background())
	m := &Membership{
		table: member.New(s), settings: s, client: c, versions: v, vmList: k, random: r, logger: z, ctx: ctx, stop: stop,
		changed: make(chan struct{}),
	}
	m.publishView()

	return m
}

// Run sends messages that are due until ctx ends or Stop is called, and then cancels the calls in flight and waits for
// them.
func (m *Membership) Run(ctx context.Context) error {
	t := time.NewTicker(gossipInterval)
	defer t.Stop()

	start := time.Now()

	for ctx.Err() == nil && m.ctx.Err() == nil {
		m.table.SetConfig(m.versions.InForce().Number())

		m.randomMu.Lock()
		l := m.table.Tick(time.Now(), m.random)
		m.randomMu.Unlock()

		m.sendAll(l)
		m.markReady(time.Since(start) > initialListTimeout)
		m.publishView()

		select {
		case <-t.C:
		case <-ctx.Done():
		case <-m.ctx.Done():
		}
	}

	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()

	m.stop()
	m.calls.Wait()

	return nil
}

// Peers returns the daemons that are considered live, in all failure domains. This daemon is among them unless it is
// leaving. Until a list of VMs is known or initialListTimeout has passed there are none, as a daemon that sees only
// itself would take over the partitions and targets of others. The result must not be changed.
func (m *Membership) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()

	if !m.ready {
		return nil
	}

	return m.peers
}

// markReady makes the peers visible if a list is known or the wait for one has timed out.
func (m *Membership) markReady(timedOut bool) {
	_, known := m.table.ListAge(time.Now())

	m.mu.Lock()
	defer m.mu.Unlock()

	if !m.ready && (known || timedOut) {
		m.ready = true
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed at the next change of the peers.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.changed
}

// Counts returns the counters by name.
func (m *Membership) Counts() map[string]int64 {
	c := m.table.Counts()
	c["config_fetches"] = m.configFetches.Load()
	c["list_fetches"] = m.listFetches.Load()

	return c
}

// Gossip takes a heartbeat and returns the reply.
func (m *Membership) Gossip(q member.Message) (member.Message, error) {
	a, err := m.table.Receive(time.Now(), q)
	if err == nil {
		m.fetchMissing(q, q.From.Address)
		m.publishView()
	}

	return a, err
}

// Check reports whether another daemon replies to a heartbeat of this one. It is called for a peer that got no reply.
func (m *Membership) Check(ctx context.Context, q CheckArgs) (bool, error) {
	if m.settings.Valid != nil && !m.settings.Valid(q.Address) {
		return false, member.ErrMalformed
	}

	x, stop := context.WithTimeout(ctx, m.settings.Bounds.ReplyTimeout())
	defer stop()

	var a member.Message

	return m.client.Call(x, q.Address, "Member.Gossip", m.table.Heartbeat(time.Now(), q.VM), &a) == nil, nil
}

// List returns the last list of VMs for a peer.
func (m *Membership) List() ListReply {
	age, ok := m.table.ListAge(time.Now())
	if !ok {
		return ListReply{}
	}

	return ListReply{AgeMS: age.Milliseconds(), Known: true, Machines: newVMMessages(m.vmList.VMs())}
}

// Fetch returns the version in force if it is newer than the one that a peer knows, else offset 0.
func (m *Membership) Fetch(known int64) FetchReply {
	if f := m.versions.InForce(); f.Number() > known {
		return FetchReply{Offset: f.Number(), Version: f.Version()}
	}

	return FetchReply{}
}

// ObserveList passes the list of VMs, which the platform confirmed at the given age, to the peer table.
func (m *Membership) ObserveList(l []VM, age time.Duration) {
	r := make([]member.ListedVM, len(l))

	for i, v := range l {
		r[i] = member.ListedVM{
			VM: v.Name(), Address: v.PeerAddress(), Domain: v.Domain(), Region: v.Region(), Target: v.IsTarget(),
			Leaving: v.IsLeaving(),
		}
		if v.IsTarget() {
			r[i].Address = v.Address()
		}
	}

	m.table.ObserveList(time.Now(), r, age)
	m.markReady(false)
	m.publishView()
}

// IsTargetLeaving reports whether the target at an address is leaving, by any source.
func (m *Membership) IsTargetLeaving(vm, address string) bool {
	return m.table.IsTargetLeaving(vm, address)
}

// MarkTargetLeaving records that a target has reported that it is leaving.
func (m *Membership) MarkTargetLeaving(vm, address string) {
	m.table.MarkTargetLeaving(time.Now(), vm, address)
	m.publishView()
}

// ShouldReadList reports whether this daemon is to read the platform's list: as one of the readers of its failure
// domain, or because it knows no list that was confirmed within maxListAge.
func (m *Membership) ShouldReadList() bool {
	age, ok := m.table.ListAge(time.Now())
	if !ok || age > maxListAge {
		return true
	}

	l := shard.Rank("platform list", m.domainVMs())

	for _, vm := range l[:min(len(l), listReaderCount)] {
		if vm == m.settings.VM {
			return true
		}
	}

	return false
}

// domainVMs returns the names of the entry VMs of this failure domain.
func (m *Membership) domainVMs() []string {
	var l []string

	for _, p := range m.Peers() {
		if p.Domain() == m.settings.Domain {
			l = append(l, p.VM())
		}
	}

	return l
}

// IsFirstRanked reports whether this daemon is first-ranked for a key among the daemons of its failure domain.
func (m *Membership) IsFirstRanked(key string) bool {
	return shard.First(key, m.domainVMs()) == m.settings.VM
}

// Leave marks this daemon as leaving and tells a few random peers at once.
func (m *Membership) Leave(ctx context.Context) error {
	m.table.Leave()
	m.publishView()

	var l []Peer

	for _, p := range m.Peers() {
		if p.Domain() == m.settings.Domain && p.VM() != m.settings.VM {
			l = append(l, p)
		}
	}

	m.randomMu.Lock()
	m.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	m.randomMu.Unlock()

	var g sync.WaitGroup

	for _, p := range l[:min(len(l), leaveNoticeCount)] {
		g.Go(func() {
			x, stop := context.WithTimeout(ctx, m.settings.Bounds.ReplyTimeout())
			defer stop()

			_ = m.client.Call(x, p.Address(), "Member.Gossip", m.table.Heartbeat(time.Now(), p.VM()), &member.Message{})
		})
	}

	g.Wait()

	return nil
}

// Stop ends Run without telling the peers.
func (m *Membership) Stop() { m.stop() }

// startCall runs f in the background unless Run has ended. Run waits for it.
func (m *Membership) startCall(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if !m.closed {
		m.calls.Go(f)
	}
}

func (m *Membership) sendAll(l []member.Request) {
	for _, s := range l {
		m.startCall(func() {
			if s.Kind() == member.Check {
				m.check(s)
			} else {
				m.probe(s)
			}

			m.publishView()
		})
	}
}

func (m *Membership) probe(s member.Request) {
	x, stop := context.WithTimeout(m.ctx, m.settings.Bounds.ReplyTimeout())
	defer stop()

	var a member.Message

	if err := m.client.Call(x, s.Address(), "Member.Gossip", s.Message(), &a); err != nil {
		if m.ctx.Err() == nil {
			m.randomMu.Lock()
			l := m.table.HandleFailure(time.Now(), s, m.random)
			m.randomMu.Unlock()

			m.sendAll(l)
		}

		return
	}

	l, err := m.table.HandleReply(time.Now(), s, a)
	m.sendAll(l)

	if err == nil {
		m.fetchMissing(a, s.Address())
	}
}

func (m *Membership) check(s member.Request) {
	// The peer waits for a reply of the checked daemon first.
	x, stop := context.WithTimeout(m.ctx, 2*m.settings.Bounds.ReplyTimeout())
	defer stop()

	var a CheckReply

	err := m.client.Call(x, s.Address(), "Member.Check", CheckArgs{VM: s.Subject(), Address: s.SubjectAddress()}, &a)
	m.table.HandleCheckResult(time.Now(), s, err == nil && a.Answered)
}

// fetchMissing fetches the configuration and the list of VMs from the sender of a message if it has newer ones.
func (m *Membership) fetchMissing(q member.Message, address string) {
	m.table.ConfirmList(time.Now(), q)

	if q.Config > m.versions.InForce().Number() && m.fetchingConfig.CompareAndSwap(false, true) {
		m.startCall(func() {
			defer m.fetchingConfig.Store(false)

			m.fetchConfig(address, q.Config)
		})
	}

	if m.table.HasNewerList(time.Now(), q, fetchDelay) && m.fetchingList.CompareAndSwap(false, true) {
		m.startCall(func() {
			defer m.fetchingList.Store(false)

			m.fetchList(address)
		})
	}
}

// fetchConfig fetches a version from a peer. Unless this daemon has none yet, it gives the platform fetchDelay to deliver
// the version first.
func (m *Membership) fetchConfig(address string, version int64) {
	if m.versions.InForce().Number() != 0 {
		sleep(m.ctx, fetchDelay)
	}

	known := m.versions.InForce().Number()
	if known >= version {
		return
	}

	x, stop := context.WithTimeout(m.ctx, fetchTimeout)
	defer stop()

	var a FetchReply
	if m.client.Call(x, address, "Config.Fetch", FetchArgs{Known: known}, &a) != nil || a.Offset <= known {
		return
	}

	m.configFetches.Add(1)

	if err := m.versions.Receive(a.Offset, a.Version); err != nil {
		m.logger.Warn().Int64("version", a.Offset).Str("peer", address).Err(err).Msg("configuration from a peer rejected; keeping the version in force")
	}
}

func (m *Membership) fetchList(address string) {
	x, stop := context.WithTimeout(m.ctx, fetchTimeout)
	defer stop()

	var a ListReply
	if m.client.Call(x, address, "Member.List", ListArgs{Domain: m.settings.Domain}, &a) != nil {
		return
	}

	if !a.Known || a.AgeMS < 0 || len(a.Machines) > maxListedVMs {
		return
	}

	m.listFetches.Add(1)
	m.vmList.UpdateVMs(vmsFromMessages(a.Machines), milliseconds(a.AgeMS))
}

// publishView takes over a changed view of the peer table and updates the pool of targets.
func (m *Membership) publishView() {
	m.mu.Lock()

	v := m.table.Version()
	if v == m.viewVersion && m.peers != nil {
		m.mu.Unlock()

		return
	}

	var l []Peer
	for _, p := range m.table.View() {
		l = append(l, NewPeer(p.VM(), p.Address(), p.Domain(), p.Region()))
	}

	m.viewVersion, m.peers = v, l
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()

	m.vmList.UpdatePool()
}
