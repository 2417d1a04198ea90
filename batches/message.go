package batches

import (
	"time"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/outcome"
)

// The messages by which a daemon takes the calls of its callers to one that follows the partition. A codec fills the
// fields.

// ErrorMessage is an error; empty for none.
type ErrorMessage struct {
	Code    string `msgpack:"code"`
	Effect  string `msgpack:"effect"`
	Text    string `msgpack:"text"`
	RetryMS int64  `msgpack:"retry_ms"`
}

func newErrorMessage(err error) ErrorMessage {
	if err == nil {
		return ErrorMessage{}
	}

	e := outcome.From(err)

	return ErrorMessage{
		Code: string(e.Code()), Effect: string(e.Effect()), Text: err.Error(), RetryMS: e.RetryAfter().Milliseconds(),
	}
}

func (m ErrorMessage) failure() ErrorMessage { return m }

func (m ErrorMessage) err() error {
	if m.Code == "" {
		return nil
	}

	return outcome.New(outcome.Code(m.Code), outcome.Effect(m.Effect), "%s", m.Text).
		WithRetryAfter(time.Duration(m.RetryMS) * time.Millisecond)
}

// SubmitArgs is a job.
type SubmitArgs struct {
	Job      string           `msgpack:"job"`
	Host     string           `msgpack:"host"`
	Path     string           `msgpack:"path"`
	AtMS     int64            `msgpack:"at_ms"` // acceptance, Unix milliseconds
	WithinMS int64            `msgpack:"within_ms"`
	RetainMS int64            `msgpack:"retain_ms"`
	Items    []JobItemMessage `msgpack:"items"`
}

// JobItemMessage is an item of a job.
type JobItemMessage struct {
	ID     string              `msgpack:"id"`
	Path   string              `msgpack:"path"`
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
	Tokens int                 `msgpack:"tokens"`
}

func newSubmitArgs(s batch.Submission) SubmitArgs {
	m := SubmitArgs{
		Job: s.ID(), Host: s.Host(), Path: s.Path(), AtMS: s.AcceptedAt().UnixMilli(), WithinMS: s.DueAfter().Milliseconds(),
		RetainMS: s.DeadlineAfter().Milliseconds(),
	}

	for _, i := range s.Items() {
		m.Items = append(m.Items, JobItemMessage{ID: i.ID(), Path: i.Path(), Header: i.Header(), Body: i.Body(), Tokens: i.Tokens()})
	}

	return m
}

func (m SubmitArgs) submission() batch.Submission {
	l := make([]batch.Item, len(m.Items))
	for i, v := range m.Items {
		l[i] = batch.NewItem(v.ID, v.Path, v.Header, v.Body, v.Tokens)
	}

	return batch.NewSubmission(m.Job, m.Host, m.Path, l).WithTimes(
		time.UnixMilli(m.AtMS), time.Duration(m.WithinMS)*time.Millisecond, time.Duration(m.RetainMS)*time.Millisecond)
}

// ResultsArgs asks for results.
type ResultsArgs struct {
	Job    string `msgpack:"job"`
	After  int    `msgpack:"after"`
	Most   int    `msgpack:"most"` // bytes
	WaitMS int64  `msgpack:"wait_ms"`
}

// ResultsReply has results.
type ResultsReply struct {
	Results []ResultMessage `msgpack:"results"`
	Total   int             `msgpack:"total"`
	Next    int             `msgpack:"next"`
	Error   ErrorMessage    `msgpack:"error"`
}

// ResultMessage is a result.
type ResultMessage struct {
	Item string `msgpack:"item"`
	Text string `msgpack:"text"`
	Done bool   `msgpack:"done"`
}

func (m ResultsReply) failure() ErrorMessage { return m.Error }

func (m ResultsReply) page() Page {
	p := Page{itemCount: m.Total, nextPosition: m.Next}
	for _, v := range m.Results {
		p.results = append(p.results, batch.NewResult(v.Item, v.Text, v.Done))
	}

	return p
}

// ItemArgs names a job, or an item of one.
type ItemArgs struct {
	Job  string `msgpack:"job"`
	Item string `msgpack:"item"`
}

// BodyReply has the body of an item.
type BodyReply struct {
	Body  []byte       `msgpack:"body"`
	Error ErrorMessage `msgpack:"error"`
}

func (m BodyReply) failure() ErrorMessage { return m.Error }
