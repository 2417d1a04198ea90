package keyed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/stream"
)

const (
	// directRetryDelay is how long calls are relayed through other daemons after a direct call to the log failed.
	directRetryDelay = time.Second
	// probeTimeout bounds the direct call that checks whether the log is available again. A slow store responds within
	// a few hundred milliseconds.
	probeTimeout = 500 * time.Millisecond
	// maxRelayPeers is the greatest number of other daemons that are tried for one call.
	maxRelayPeers = 2
	// relayTimeout bounds a call through another daemon, in addition to the wait of a read.
	relayTimeout = 1500 * time.Millisecond
	// maxRelayWait bounds the wait for a record of a read through another daemon.
	maxRelayWait = 500 * time.Millisecond
)

// PeerClient calls net/rpc methods of other daemons. Its errors are outcome.Errors, whose effect tells whether the call may
// have been executed.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Peers returns the live daemons.
type Peers interface {
	LivePeers(now time.Time) []mesh.Peer
}

// RelayedLog is a Log whose calls are relayed through other daemons while direct calls fail. It is safe for concurrent
// use.
type RelayedLog struct {
	direct Log
	client PeerClient
	peers  Peers

	mu           sync.Mutex
	relayUntil   time.Time // no direct calls before this time if directFailed
	nextPeer     int       // rotates the choice of peers
	directFailed bool      // the last direct call failed
}

// NewRelayedLog returns a log with direct access through direct, and relayed access through the daemons of p.
func NewRelayedLog(direct Log, c PeerClient, p Peers) *RelayedLog {
	return &RelayedLog{direct: direct, client: c, peers: p}
}

// IsDirect reports whether the last direct call to the log succeeded, or none was made yet.
func (r *RelayedLog) IsDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return !r.directFailed
}

// shouldSkipDirect reports whether no direct call is to be made for now.
func (r *RelayedLog) shouldSkipDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.directFailed && time.Now().Before(r.relayUntil)
}

// recordDirectCall records whether the log responded to a direct call.
func (r *RelayedLog) recordDirectCall(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.directFailed = !ok
	if !ok {
		r.relayUntil = time.Now().Add(directRetryDelay)
	}
}

// choosePeers returns the daemons to try for a call, starting with a different one each time.
func (r *RelayedLog) choosePeers() []mesh.Peer {
	l := r.peers.LivePeers(time.Now())
	if len(l) == 0 {
		return nil
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.nextPeer++

	var o []mesh.Peer
	for i := range min(maxRelayPeers, len(l)) {
		o = append(o, l[(r.nextPeer+i)%len(l)])
	}

	return o
}

// Append appends records as Log.Append does. If the outcome of a direct or relayed call is unknown, it fails with
// stream.ErrUnconfirmed and does not try another daemon.
func (r *RelayedLog) Append(ctx context.Context, name string, part int, records []stream.KeyedRecord, at int64) (int64, error) {
	err := stream.ErrRefused

	if !r.shouldSkipDirect() {
		o, e := r.direct.Append(ctx, name, part, records, at)

		responded := e == nil || errors.Is(e, stream.ErrOffsetMismatch) || errors.Is(e, stream.ErrTooLarge) || errors.Is(e, stream.ErrForbidden)
		r.recordDirectCall(responded)

		if responded || !errors.Is(e, stream.ErrRefused) {
			return o, e
		}

		err = e
	}

	q := AppendArgs{Name: name, Part: part, At: at}
	for _, k := range records {
		q.Records = append(q.Records, newRecordMessage(k))
	}

	for _, p := range r.choosePeers() {
		var a AppendReply

		e := r.callPeer(ctx, p, "Log.Append", relayTimeout, q, &a)
		if e != nil && outcome.From(e).Effect() == outcome.NotRun {
			continue
		}

		if e != nil {
			return 0, fmt.Errorf("%w: %w", stream.ErrUnconfirmed, e)
		}

		if e = a.Code.err(); e == nil || !errors.Is(e, stream.ErrRefused) || errors.Is(e, stream.ErrOffsetMismatch) {
			return a.Offset, e
		}

		err = e
	}

	return 0, err
}

// Tail reads records as Log.Tail does. A relayed call waits for a record for at most maxRelayWait.
func (r *RelayedLog) Tail(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	err := stream.ErrUnavailable

	if !r.shouldSkipDirect() {
		p, e := r.tailDirect(ctx, name, part, from, wait)

		responded := e == nil || errors.Is(e, stream.ErrTruncated)
		if responded || ctx.Err() == nil {
			r.recordDirectCall(responded)
		}

		if responded {
			return p, e
		}

		err = e
	}

	q := ReadArgs{Name: name, Part: part, From: from, WaitMS: min(wait, maxRelayWait).Milliseconds()}

	return r.relayRead(ctx, "Log.Tail", wait, q, err)
}

// tailDirect reads records directly. After a failed direct call, it only checks whether the log is available again,
// without waiting for a record.
func (r *RelayedLog) tailDirect(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	if r.IsDirect() {
		return r.direct.Tail(ctx, name, part, from, wait)
	}

	x, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()

	return r.direct.Tail(x, name, part, from, 0)
}

// Newest returns the newest records of keys as Log.Newest does.
func (r *RelayedLog) Newest(ctx context.Context, name string, part int, after string) (stream.KeyedPage, error) {
	err := stream.ErrUnavailable

	if !r.shouldSkipDirect() {
		p, e := r.direct.Newest(ctx, name, part, after)
		if e == nil || ctx.Err() == nil {
			r.recordDirectCall(e == nil)
		}

		if e == nil {
			return p, nil
		}

		err = e
	}

	return r.relayRead(ctx, "Log.Newest", 0, ReadArgs{Name: name, Part: part, After: after}, err)
}

// relayRead makes a read through other daemons, one after the other, until the log responds. If it does not, the error
// is that of the last daemon that was reached, or err if there was none.
func (r *RelayedLog) relayRead(ctx context.Context, method string, wait time.Duration, q ReadArgs, err error) (stream.KeyedPage, error) {
	for _, p := range r.choosePeers() {
		var a ReadReply
		if e := r.callPeer(ctx, p, method, relayTimeout+min(wait, maxRelayWait), q, &a); e != nil {
			continue
		}

		e := a.Code.err()
		if e == nil || errors.Is(e, stream.ErrTruncated) {
			return a.page(), e
		}

		err = e
	}

	return stream.KeyedPage{}, err
}

func (r *RelayedLog) callPeer(ctx context.Context, p mesh.Peer, method string, timeout time.Duration, q, a any) error {
	x, stop := context.WithTimeout(ctx, timeout)
	defer stop()

	return r.client.Call(x, p.Address, method, q, a)
}
