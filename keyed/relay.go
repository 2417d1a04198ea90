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
	// directRetryDelay is how long calls go through other daemons after the log failed this one.
	directRetryDelay = time.Second
	// probeTimeout bounds the question whether the log is back. A slow store answers within a few hundred milliseconds.
	probeTimeout = 500 * time.Millisecond
	// maxRelayPeers is the number of other daemons that one call is taken to.
	maxRelayPeers = 2
	// relayTimeout bounds a call through another daemon, beyond the wait of a read.
	relayTimeout = 1500 * time.Millisecond
	// maxRelayWait bounds the wait of a read at another daemon.
	maxRelayWait = 500 * time.Millisecond
)

// Caller calls methods of other daemons. Its error says in an outcome.Error whether the call may have had an effect.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Peers knows the live daemons.
type Peers interface {
	LivePeers(now time.Time) []mesh.Peer
}

// RelayedLog is a log that is reached through other daemons while it does not serve this one.
type RelayedLog struct {
	direct Log
	caller Caller
	peers  Peers

	mu     sync.Mutex
	relayUntil  time.Time // calls go through others before this time
	nextPeer  int       // where the choice of peers starts
	directFailed bool
}

// NewRelayedLog returns the log.
func NewRelayedLog(direct Log, c Caller, p Peers) *RelayedLog {
	return &RelayedLog{direct: direct, caller: c, peers: p}
}

// IsDirect reports whether the log serves this daemon itself.
func (r *RelayedLog) IsDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return !r.directFailed
}

// shouldSkipDirect reports whether the log is to be left alone for now.
func (r *RelayedLog) shouldSkipDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.directFailed && time.Now().Before(r.relayUntil)
}

// recordDirectCall records the result of a direct call.
func (r *RelayedLog) recordDirectCall(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.directFailed = !ok
	if !ok {
		r.relayUntil = time.Now().Add(directRetryDelay)
	}
}

// choosePeers returns the daemons to try, in turn.
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

// Append appends records. An answer that is lost on the way is stream.ErrLost, and is not repeated through others.
func (r *RelayedLog) Append(ctx context.Context, name string, part int, records []stream.KeyedRecord, at int64) (int64, error) {
	err := stream.ErrRefused

	if !r.shouldSkipDirect() {
		o, e := r.direct.Append(ctx, name, part, records, at)

		answered := e == nil || errors.Is(e, stream.ErrOffsetMismatch) || errors.Is(e, stream.ErrTooLarge) || errors.Is(e, stream.ErrForbidden)
		r.recordDirectCall(answered)

		if answered || !errors.Is(e, stream.ErrRefused) {
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

// Tail reads on.
func (r *RelayedLog) Tail(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	err := stream.ErrUnavailable

	if !r.shouldSkipDirect() {
		p, e := r.tailDirect(ctx, name, part, from, wait)

		answered := e == nil || errors.Is(e, stream.ErrTruncated)
		if answered || ctx.Err() == nil {
			r.recordDirectCall(answered)
		}

		if answered {
			return p, e
		}

		err = e
	}

	q := ReadArgs{Name: name, Part: part, From: from, WaitMS: min(wait, maxRelayWait).Milliseconds()}

	return r.relayRead(ctx, "Log.Tail", wait, q, err)
}

// tailDirect reads on at the log itself. While the log fails, it is only asked whether it is back.
func (r *RelayedLog) tailDirect(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	if r.IsDirect() {
		return r.direct.Tail(ctx, name, part, from, wait)
	}

	x, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()

	return r.direct.Tail(x, name, part, from, 0)
}

// Newest lists the newest records.
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

func (r *RelayedLog) callPeer(ctx context.Context, p mesh.Peer, method string, within time.Duration, q, a any) error {
	x, stop := context.WithTimeout(ctx, within)
	defer stop()

	return r.caller.Call(x, p.Address, method, q, a)
}
