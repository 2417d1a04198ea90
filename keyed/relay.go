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
	// avoidFor is how long calls go through other daemons after the log failed this one.
	avoidFor = time.Second
	// probeWithin bounds the question whether the log is back. A slow store answers within a few hundred milliseconds.
	probeWithin = 500 * time.Millisecond
	// relayPeers is the number of other daemons that one call is taken to.
	relayPeers = 2
	// relayWithin bounds a call through another daemon, beyond the wait of a read.
	relayWithin = 1500 * time.Millisecond
	// relayWait bounds the wait of a read at another daemon.
	relayWait = 500 * time.Millisecond
)

// Caller calls methods of other daemons. Its error says in an outcome.Error whether the call may have had an effect.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Peers knows the live daemons.
type Peers interface {
	LivePeers(now time.Time) []mesh.Peer
}

// Relayed is a log that is reached through other daemons while it does not serve this one.
type Relayed struct {
	direct Log
	caller Caller
	peers  Peers

	mu     sync.Mutex
	until  time.Time // calls go through others before this time
	first  int       // where the choice of peers starts
	failed bool
}

// NewRelayed returns the log.
func NewRelayed(direct Log, c Caller, p Peers) *Relayed {
	return &Relayed{direct: direct, caller: c, peers: p}
}

// Direct reports whether the log serves this daemon itself.
func (r *Relayed) Direct() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return !r.failed
}

// skip reports whether the log is to be left alone for now.
func (r *Relayed) skip() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.failed && time.Now().Before(r.until)
}

// note records the result of a direct call.
func (r *Relayed) note(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.failed = !ok
	if !ok {
		r.until = time.Now().Add(avoidFor)
	}
}

// others returns the daemons to try, in turn.
func (r *Relayed) others() []mesh.Peer {
	l := r.peers.LivePeers(time.Now())
	if len(l) == 0 {
		return nil
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.first++

	var o []mesh.Peer
	for i := range min(relayPeers, len(l)) {
		o = append(o, l[(r.first+i)%len(l)])
	}

	return o
}

// Append appends records. An answer that is lost on the way is stream.ErrLost, and is not repeated through others.
func (r *Relayed) Append(ctx context.Context, name string, part int, records []stream.Keyed, at int64) (int64, error) {
	err := stream.ErrRefused

	if !r.skip() {
		o, e := r.direct.Append(ctx, name, part, records, at)

		answered := e == nil || errors.Is(e, stream.ErrMoved) || errors.Is(e, stream.ErrTooLarge) || errors.Is(e, stream.ErrForbidden)
		r.note(answered)

		if answered || !errors.Is(e, stream.ErrRefused) {
			return o, e
		}

		err = e
	}

	q := AppendRequest{Name: name, Part: part, At: at}
	for _, k := range records {
		q.Records = append(q.Records, record(k))
	}

	for _, p := range r.others() {
		var a AppendReply

		e := r.call(ctx, p, "Log.Append", relayWithin, q, &a)
		if e != nil && outcome.From(e).Effect() == outcome.NotRun {
			continue
		}

		if e != nil {
			return 0, fmt.Errorf("%w: %w", stream.ErrLost, e)
		}

		if e = a.Code.err(); e == nil || !errors.Is(e, stream.ErrRefused) || errors.Is(e, stream.ErrMoved) {
			return a.Offset, e
		}

		err = e
	}

	return 0, err
}

// Tail reads on.
func (r *Relayed) Tail(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	err := stream.ErrUnavailable

	if !r.skip() {
		p, e := r.tail(ctx, name, part, from, wait)

		answered := e == nil || errors.Is(e, stream.ErrDropped)
		if answered || ctx.Err() == nil {
			r.note(answered)
		}

		if answered {
			return p, e
		}

		err = e
	}

	q := ReadRequest{Name: name, Part: part, From: from, WaitMS: min(wait, relayWait).Milliseconds()}

	return r.relayRead(ctx, "Log.Tail", wait, q, err)
}

// tail reads on at the log itself. While the log fails, it is only asked whether it is back.
func (r *Relayed) tail(ctx context.Context, name string, part int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	if r.Direct() {
		return r.direct.Tail(ctx, name, part, from, wait)
	}

	x, stop := context.WithTimeout(ctx, probeWithin)
	defer stop()

	return r.direct.Tail(x, name, part, from, 0)
}

// Newest lists the newest records.
func (r *Relayed) Newest(ctx context.Context, name string, part int, after string) (stream.KeyedPage, error) {
	err := stream.ErrUnavailable

	if !r.skip() {
		p, e := r.direct.Newest(ctx, name, part, after)
		if e == nil || ctx.Err() == nil {
			r.note(e == nil)
		}

		if e == nil {
			return p, nil
		}

		err = e
	}

	return r.relayRead(ctx, "Log.Newest", 0, ReadRequest{Name: name, Part: part, After: after}, err)
}

func (r *Relayed) relayRead(ctx context.Context, method string, wait time.Duration, q ReadRequest, err error) (stream.KeyedPage, error) {
	for _, p := range r.others() {
		var a ReadReply
		if e := r.call(ctx, p, method, relayWithin+min(wait, relayWait), q, &a); e != nil {
			continue
		}

		e := a.Code.err()
		if e == nil || errors.Is(e, stream.ErrDropped) {
			return a.page(), e
		}

		err = e
	}

	return stream.KeyedPage{}, err
}

func (r *Relayed) call(ctx context.Context, p mesh.Peer, method string, within time.Duration, q, a any) error {
	x, stop := context.WithTimeout(ctx, within)
	defer stop()

	return r.caller.Call(x, p.Address, method, q, a)
}
