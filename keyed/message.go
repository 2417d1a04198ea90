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

func newRecordMessage(k stream.KeyedRecord) RecordMessage {
	return RecordMessage{Offset: k.Offset(), Key: k.Key(), Value: k.Value()}
}

func (m RecordMessage) keyedRecord() stream.KeyedRecord { return stream.NewKeyedRecord(m.Offset, m.Key, m.Value) }

// AppendArgs asks for an append.
type AppendArgs struct {
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

// ReadArgs asks for records.
type ReadArgs struct {
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
	l := make([]stream.KeyedRecord, len(a.Records))
	for i, m := range a.Records {
		l[i] = m.keyedRecord()
	}

	return stream.NewKeyedPage(l, a.End, a.More)
}

func (a *ReadReply) setPage(p stream.KeyedPage, err error) {
	a.End, a.More, a.Code = p.End(), p.HasMore(), codeOf(err)

	for _, k := range p.Records() {
		a.Records = append(a.Records, newRecordMessage(k))
	}
}

// Code is an error of the log in a message.
type Code uint8

// codeErrors are the errors by code, the special ones first.
var codeErrors = []error{
	nil, stream.ErrOffsetMismatch, stream.ErrTooLarge, stream.ErrForbidden, stream.ErrTruncated, stream.ErrRefused, stream.ErrUnavailable, stream.ErrUnconfirmed,
}

func codeOf(err error) Code {
	if err == nil {
		return 0
	}

	for i, e := range codeErrors[1:] {
		if errors.Is(err, e) {
			return Code(i + 1) //nolint:gosec // a few codes
		}
	}

	return Code(len(codeErrors) - 1) //nolint:gosec // a few codes
}

func (c Code) err() error {
	if int(c) >= len(codeErrors) {
		return stream.ErrUnconfirmed
	}

	return codeErrors[c]
}

// Service makes the log reachable for other daemons. It uses only this daemon's own way to it.
type Service struct {
	direct Log
	callTimeout time.Duration
}

// NewService returns the service.
func NewService(direct Log) *Service { return &Service{direct: direct, callTimeout: relayTimeout} }

// Append appends records.
func (s *Service) Append(q AppendArgs, a *AppendReply) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	l := make([]stream.KeyedRecord, len(q.Records))
	for i, m := range q.Records {
		l[i] = m.keyedRecord()
	}

	o, err := s.direct.Append(ctx, q.Name, q.Part, l, q.At)
	a.Offset, a.Code = o, codeOf(err)

	return nil
}

// Tail reads on.
func (s *Service) Tail(q ReadArgs, a *ReadReply) error {
	wait := min(maxRelayWait, time.Duration(q.WaitMS)*time.Millisecond)

	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout+wait)
	defer stop()

	a.setPage(s.direct.Tail(ctx, q.Name, q.Part, q.From, wait))

	return nil
}

// Newest lists the newest records.
func (s *Service) Newest(q ReadArgs, a *ReadReply) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	a.setPage(s.direct.Newest(ctx, q.Name, q.Part, q.After))

	return nil
}
