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

// PeerCaller calls methods of other daemons.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Versions has the configuration version in force and takes versions of peers.
type Versions interface {
	InForce() config.AdoptedVersion
	Receive(offset int64, v config.Version) error
}

// ListKeeper keeps the list of VMs.
type ListKeeper interface {
	Machines() []Machine
	Receive(l []Machine, age time.Duration)
	Refresh()
}

const (
	// gossipTick is a quarter of the time between two probes.
	gossipTick = 125 * time.Millisecond
	// fetchDelay gives the platform time to deliver a version or a list before a peer is asked, so that the
	// ordinary case costs nothing.
	fetchDelay = time.Second
	// fetchTimeout bounds the transfer of a configuration or a list.
	fetchTimeout = 5 * time.Second
	// listReaders is the number of daemons of a failure domain that read the platform's list. The others get it from
	// peers: a read of 940 entries is about 100 KB, which is far above 2 KB/s when every daemon reads.
	listReaders = 2
	// listStale is the age from which a daemon that is not a reader reads the list itself.
	listStale = 10 * time.Second
	// settleTime is how long a daemon that has just started waits for a list of VMs before it goes by what it heard.
	settleTime = 5 * time.Second
	// farewells is the number of peers that hear at once that this daemon is leaving.
	farewells = 4
)

// Membership runs the peer table of the failure domain and passes on what peers report.
type Membership struct {
	table    *member.Table
	settings member.Settings
	caller   PeerCaller
	versions Versions
	keeper   ListKeeper
	logger   zerolog.Logger
	ctx      context.Context //nolint:containedctx // the life of the actor, for calls that answers cause
	stop     context.CancelFunc
	calls    sync.WaitGroup

	fetchingConfig, fetchingList atomic.Bool
	configFetches, listFetches   atomic.Int64

	randomMu sync.Mutex
	random   *rand.Rand

	mu      sync.Mutex
	settled bool // a list is known, or none came in time
	closed  bool
	version uint64
	peers   []Peer
	changed chan struct{}
}

// NewMembership returns the controller. r is a random source that only it uses.
func NewMembership(s member.Settings, c PeerCaller, v Versions, k ListKeeper, r *rand.Rand, z zerolog.Logger) *Membership {
	ctx, stop := context.WithCancel(context.Background())
	m := &Membership{
		table: member.New(s), settings: s, caller: c, versions: v, keeper: k, random: r, logger: z, ctx: ctx, stop: stop,
		changed: make(chan struct{}),
	}
	m.refresh()

	return m
}

// Run sends what is due until ctx ends, and then waits for the calls in flight.
func (m *Membership) Run(ctx context.Context) error {
	t := time.NewTicker(gossipTick)
	defer t.Stop()

	start := time.Now()

	for ctx.Err() == nil && m.ctx.Err() == nil {
		m.table.SetConfig(m.versions.InForce().Number())

		m.randomMu.Lock()
		l := m.table.Tick(time.Now(), m.random)
		m.randomMu.Unlock()

		m.send(l)
		m.settle(time.Since(start) > settleTime)
		m.refresh()

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

// Peers returns the daemons thought live, in all failure domains, with this one unless it is leaving. It returns
// none before a list of VMs is known, as a daemon that sees only itself would take over what belongs to others. The
// result must not be changed.
func (m *Membership) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()

	if !m.settled {
		return nil
	}

	return m.peers
}

// settle makes the view visible once a list is known or the time for that is over.
func (m *Membership) settle(late bool) {
	_, known := m.table.ListAge(time.Now())

	m.mu.Lock()
	defer m.mu.Unlock()

	if !m.settled && (known || late) {
		m.settled = true
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed when the view changes next.
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

// Gossip answers a heartbeat.
func (m *Membership) Gossip(q member.Message) (member.Message, error) {
	a, err := m.table.Receive(time.Now(), q)
	if err == nil {
		m.follow(q, q.From.Address)
		m.refresh()
	}

	return a, err
}

// Check reports whether another daemon answers this one.
func (m *Membership) Check(ctx context.Context, q CheckRequest) (bool, error) {
	if m.settings.Valid != nil && !m.settings.Valid(q.Address) {
		return false, member.ErrMalformed
	}

	x, stop := context.WithTimeout(ctx, m.settings.Bounds.ReplyTimeout())
	defer stop()

	var a member.Message

	return m.caller.Call(x, q.Address, "Member.Gossip", m.table.Heartbeat(time.Now(), q.VM), &a) == nil, nil
}

// List returns the last list of VMs for a peer.
func (m *Membership) List() ListReply {
	age, ok := m.table.ListAge(time.Now())
	if !ok {
		return ListReply{}
	}

	return ListReply{AgeMS: age.Milliseconds(), Known: true, Machines: machineRecords(m.keeper.Machines())}
}

// Fetch returns the version in force when it is newer than the one a peer knows.
func (m *Membership) Fetch(known int64) FetchReply {
	if f := m.versions.InForce(); f.Number() > known {
		return FetchReply{Offset: f.Number(), Version: f.Version()}
	}

	return FetchReply{}
}

// ObserveList takes the list of VMs, which the platform confirmed at the given age.
func (m *Membership) ObserveList(l []Machine, age time.Duration) {
	r := make([]member.ListedVM, len(l))

	for i, v := range l {
		r[i] = member.ListedVM{
			VM: v.Name(), Address: v.PeerAddress(), Domain: v.Domain(), Region: v.Region(), Target: v.Target(),
			Leaving: v.Leaving(),
		}
		if v.Target() {
			r[i].Address = v.Address()
		}
	}

	m.table.ObserveList(time.Now(), r, age)
	m.settle(false)
	m.refresh()
}

// Departing reports whether a target is leaving.
func (m *Membership) Departing(vm, address string) bool { return m.table.IsTargetLeaving(vm, address) }

// Depart records that a target says itself that it is leaving.
func (m *Membership) Depart(vm, address string) {
	m.table.MarkTargetLeaving(time.Now(), vm, address)
	m.refresh()
}

// ReadsList reports whether this daemon is to read the platform's list: as one of the readers of its failure
// domain, or because no reader has confirmed the list for a while.
func (m *Membership) ReadsList() bool {
	age, ok := m.table.ListAge(time.Now())
	if !ok || age > listStale {
		return true
	}

	l := shard.Rank("platform list", m.domain())

	for _, vm := range l[:min(len(l), listReaders)] {
		if vm == m.settings.VM {
			return true
		}
	}

	return false
}

// domain returns the VMs of the daemons of this failure domain.
func (m *Membership) domain() []string {
	var l []string

	for _, p := range m.Peers() {
		if p.Domain() == m.settings.Domain {
			l = append(l, p.VM())
		}
	}

	return l
}

// Owns reports whether this daemon is the first choice for a key among those of its failure domain.
func (m *Membership) Owns(key string) bool { return shard.First(key, m.domain()) == m.settings.VM }

// Leave makes this daemon report itself as leaving, to a few peers at once.
func (m *Membership) Leave(ctx context.Context) error {
	m.table.Leave()
	m.refresh()

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

	for _, p := range l[:min(len(l), farewells)] {
		g.Go(func() {
			x, stop := context.WithTimeout(ctx, m.settings.Bounds.ReplyTimeout())
			defer stop()

			_ = m.caller.Call(x, p.Address(), "Member.Gossip", m.table.Heartbeat(time.Now(), p.VM()), &member.Message{})
		})
	}

	g.Wait()

	return nil
}

// Stop ends what Run does, without a word to the peers.
func (m *Membership) Stop() { m.stop() }

// start runs f unless Run has ended.
func (m *Membership) start(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if !m.closed {
		m.calls.Go(f)
	}
}

func (m *Membership) send(l []member.Request) {
	for _, s := range l {
		m.start(func() {
			if s.Kind() == member.Check {
				m.check(s)
			} else {
				m.probe(s)
			}

			m.refresh()
		})
	}
}

func (m *Membership) probe(s member.Request) {
	x, stop := context.WithTimeout(m.ctx, m.settings.Bounds.ReplyTimeout())
	defer stop()

	var a member.Message

	if err := m.caller.Call(x, s.Address(), "Member.Gossip", s.Message(), &a); err != nil {
		if m.ctx.Err() == nil {
			m.randomMu.Lock()
			l := m.table.HandleFailure(time.Now(), s, m.random)
			m.randomMu.Unlock()

			m.send(l)
		}

		return
	}

	l, err := m.table.HandleReply(time.Now(), s, a)
	m.send(l)

	if err == nil {
		m.follow(a, s.Address())
	}
}

func (m *Membership) check(s member.Request) {
	// The peer that is asked waits for an answer itself.
	x, stop := context.WithTimeout(m.ctx, 2*m.settings.Bounds.ReplyTimeout())
	defer stop()

	var a CheckReply

	err := m.caller.Call(x, s.Address(), "Member.Check", CheckRequest{VM: s.Subject(), Address: s.SubjectAddress()}, &a)
	m.table.HandleCheckResult(time.Now(), s, err == nil && a.Answered)
}

// follow fetches what the sender of a message has and this daemon lacks.
func (m *Membership) follow(q member.Message, address string) {
	m.table.ConfirmList(time.Now(), q)

	if q.Config > m.versions.InForce().Number() && m.fetchingConfig.CompareAndSwap(false, true) {
		m.start(func() {
			defer m.fetchingConfig.Store(false)

			m.fetchConfig(address, q.Config)
		})
	}

	if m.table.HasNewerList(time.Now(), q, fetchDelay) && m.fetchingList.CompareAndSwap(false, true) {
		m.start(func() {
			defer m.fetchingList.Store(false)

			m.fetchList(address)
		})
	}
}

// fetchConfig gets a version from a peer unless the platform delivers it first.
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
	if m.caller.Call(x, address, "Config.Fetch", FetchRequest{Known: known}, &a) != nil || a.Offset <= known {
		return
	}

	m.configFetches.Add(1)

	if err := m.versions.Receive(a.Offset, a.Version); err != nil {
		m.logger.Warn().Int64("version", a.Offset).Str("peer", address).Err(err).Msg("a peer's configuration was refused")
	}
}

func (m *Membership) fetchList(address string) {
	x, stop := context.WithTimeout(m.ctx, fetchTimeout)
	defer stop()

	var a ListReply
	if m.caller.Call(x, address, "Member.List", ListRequest{Domain: m.settings.Domain}, &a) != nil {
		return
	}

	if !a.Known || a.AgeMS < 0 || len(a.Machines) > maxMachines {
		return
	}

	m.listFetches.Add(1)
	m.keeper.Receive(machines(a.Machines), milliseconds(a.AgeMS))
}

// refresh makes a new view visible and has the targets reconsidered.
func (m *Membership) refresh() {
	m.mu.Lock()

	v := m.table.Version()
	if v == m.version && m.peers != nil {
		m.mu.Unlock()

		return
	}

	var l []Peer
	for _, p := range m.table.View() {
		l = append(l, NewPeer(p.VM(), p.Address(), p.Domain(), p.Region()))
	}

	m.version, m.peers = v, l
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()

	m.keeper.Refresh()
}
