package keyed

import (
	"context"
	"errors"
	"time"

	"github.com/agategap/agategap/stream"
)

// The messages by which a daemon reaches the log through another one. A codec fills the fields.

// RecordMessage is a record.
type RecordMessage struct {
	Offset int64  `msgpack:"offset"`
	Key    string `msgpack:"key"`
	Value  []byte `msgpack:"value"`
}

func record(k stream.Keyed) RecordMessage {
	return RecordMessage{Offset: k.Offset(), Key: k.Key(), Value: k.Value()}
}

func (m RecordMessage) keyed() stream.Keyed { return stream.NewKeyed(m.Offset, m.Key, m.Value) }

// AppendRequest asks for an append.
type AppendRequest struct {
	Name    string          `msgpack:"name"`
	Part    int             `msgpack:"part"`
	At      int64           `msgpack:"at"`
	Records []RecordMessage `msgpack:"records"`
}

// AppendReply has the offset of the first record.
type AppendReply struct {
	Offset int64 `msgpack:"offset"`
	Code   Code  `msgpack:"code"`
}

// ReadRequest asks for records.
type ReadRequest struct {
	Name   string `msgpack:"name"`
	Part   int    `msgpack:"part"`
	From   int64  `msgpack:"from"`
	After  string `msgpack:"after"`
	WaitMS int64  `msgpack:"wait_ms"`
}

// ReadReply has records.
type ReadReply struct {
	Records []RecordMessage `msgpack:"records"`
	End     int64           `msgpack:"end"`
	More    bool            `msgpack:"more"`
	Code    Code            `msgpack:"code"`
}

func (a ReadReply) page() stream.KeyedPage {
	l := make([]stream.Keyed, len(a.Records))
	for i, m := range a.Records {
		l[i] = m.keyed()
	}

	return stream.NewKeyedPage(l, a.End, a.More)
}

func (a *ReadReply) set(p stream.KeyedPage, err error) {
	a.End, a.More, a.Code = p.End(), p.More(), codeOf(err)

	for _, k := range p.Records() {
		a.Records = append(a.Records, record(k))
	}
}

// Code is an error of the log in a message.
type Code uint8

// codes are the errors by code, the special ones first.
var codes = []error{
	nil, stream.ErrMoved, stream.ErrTooLarge, stream.ErrForbidden, stream.ErrDropped, stream.ErrRefused, stream.ErrUnavailable, stream.ErrLost,
}

func codeOf(err error) Code {
	if err == nil {
		return 0
	}

	for i, e := range codes[1:] {
		if errors.Is(err, e) {
			return Code(i + 1) //nolint:gosec // a few codes
		}
	}

	return Code(len(codes) - 1) //nolint:gosec // a few codes
}

func (c Code) err() error {
	if int(c) >= len(codes) {
		return stream.ErrLost
	}

	return codes[c]
}

// Service makes the log reachable for other daemons. It uses only this daemon's own way to it.
type Service struct {
	direct Log
	within time.Duration
}

// NewService returns the service.
func NewService(direct Log) *Service { return &Service{direct: direct, within: relayWithin} }

// Append appends records.
func (s *Service) Append(q AppendRequest, a *AppendReply) error {
	ctx, stop := context.WithTimeout(context.Background(), s.within)
	defer stop()

	l := make([]stream.Keyed, len(q.Records))
	for i, m := range q.Records {
		l[i] = m.keyed()
	}

	o, err := s.direct.Append(ctx, q.Name, q.Part, l, q.At)
	a.Offset, a.Code = o, codeOf(err)

	return nil
}

// Tail reads on.
func (s *Service) Tail(q ReadRequest, a *ReadReply) error {
	wait := min(relayWait, time.Duration(q.WaitMS)*time.Millisecond)

	ctx, stop := context.WithTimeout(context.Background(), s.within+wait)
	defer stop()

	a.set(s.direct.Tail(ctx, q.Name, q.Part, q.From, wait))

	return nil
}

// Newest lists the newest records.
func (s *Service) Newest(q ReadRequest, a *ReadReply) error {
	ctx, stop := context.WithTimeout(context.Background(), s.within)
	defer stop()

	a.set(s.direct.Newest(ctx, q.Name, q.Part, q.After))

	return nil
}
