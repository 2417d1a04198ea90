package keyed

import (
	"context"
	"errors"
	"time"

	"github.com/agategap/agategap/stream"
)

// The arguments and replies of the net/rpc methods of Service, by which a daemon reaches the log through another one.
// The msgpack codec sets the fields.

// RecordMessage is a record of a keyed stream.
type RecordMessage struct {
	Offset int64  `msgpack:"offset"`
	Key    string `msgpack:"key"`
	Value  []byte `msgpack:"value"`
}

func newRecordMessage(k stream.KeyedRecord) RecordMessage {
	return RecordMessage{Offset: k.Offset(), Key: k.Key(), Value: k.Value()}
}

func (m RecordMessage) keyedRecord() stream.KeyedRecord {
	return stream.NewKeyedRecord(m.Offset, m.Key, m.Value)
}

// AppendArgs are the arguments of Service.Append.
type AppendArgs struct {
	Name    string          `msgpack:"name"`
	Part    int             `msgpack:"part"`
	At      int64           `msgpack:"at"` // required end of the partition, or stream.AnyOffset
	Records []RecordMessage `msgpack:"records"`
}

// AppendReply is the reply of Service.Append.
type AppendReply struct {
	Offset int64 `msgpack:"offset"` // of the first record
	Code   Code  `msgpack:"code"`
}

// ReadArgs are the arguments of Service.Tail and Service.Newest.
type ReadArgs struct {
	Name   string `msgpack:"name"`
	Part   int    `msgpack:"part"`
	From   int64  `msgpack:"from"`    // first offset, for Tail
	After  string `msgpack:"after"`   // key before the first one, for Newest
	WaitMS int64  `msgpack:"wait_ms"` // how long to wait for a record, for Tail
}

// ReadReply is the reply of Service.Tail and Service.Newest: a page of records, or an error.
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

// setPage sets the reply to the outcome of a read.
func (a *ReadReply) setPage(p stream.KeyedPage, err error) {
	a.End, a.More, a.Code = p.End(), p.HasMore(), codeOf(err)

	for _, k := range p.Records() {
		a.Records = append(a.Records, newRecordMessage(k))
	}
}

// Code is the error of the log in a reply, encoded as an index of codeErrors; 0 for none.
type Code uint8

// codeErrors are the errors by code. An error that wraps another one comes before it, as codeOf takes the first match.
// The order must not change, as daemons send the codes to each other.
var codeErrors = []error{
	nil, stream.ErrOffsetMismatch, stream.ErrTooLarge, stream.ErrForbidden, stream.ErrTruncated, stream.ErrRefused,
	stream.ErrUnavailable, stream.ErrUnconfirmed,
}

// codeOf returns the code of an error. An error that is not in codeErrors counts as stream.ErrUnconfirmed, the last
// one.
func codeOf(err error) Code {
	if err == nil {
		return 0
	}

	for i, e := range codeErrors[1:] {
		if errors.Is(err, e) {
			return Code(i + 1) //nolint:gosec // there are few codes
		}
	}

	return Code(len(codeErrors) - 1) //nolint:gosec // there are few codes
}

// err returns the error of a code. A code that is not in codeErrors counts as stream.ErrUnconfirmed.
func (c Code) err() error {
	if int(c) >= len(codeErrors) {
		return stream.ErrUnconfirmed
	}

	return codeErrors[c]
}

// Service is the net/rpc service by which other daemons reach the log through this one. It calls the log directly and
// never relays a call to a third daemon.
type Service struct {
	direct      Log
	callTimeout time.Duration
}

// NewService returns the service for a log that this daemon reaches directly.
func NewService(direct Log) *Service { return &Service{direct: direct, callTimeout: relayTimeout} }

// Append calls Log.Append.
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

// Tail calls Log.Tail with a wait of at most maxRelayWait.
func (s *Service) Tail(q ReadArgs, a *ReadReply) error {
	wait := min(maxRelayWait, time.Duration(q.WaitMS)*time.Millisecond)

	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout+wait)
	defer stop()

	a.setPage(s.direct.Tail(ctx, q.Name, q.Part, q.From, wait))

	return nil
}

// Newest calls Log.Newest.
func (s *Service) Newest(q ReadArgs, a *ReadReply) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	a.setPage(s.direct.Newest(ctx, q.Name, q.Part, q.After))

	return nil
}
