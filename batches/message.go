package batches

import (
	"time"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/outcome"
)

// The arguments and replies of the net/rpc methods of Service. By these methods a daemon that has not loaded the
// partition of a job has calls about the job executed by one that has. The msgpack codec sets the fields.

// ErrorMessage is an outcome.Error. The zero value means that there is none.
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

// SubmitArgs are the arguments of Service.Submit: a submission.
type SubmitArgs struct {
	Job      string           `msgpack:"job"`
	Host     string           `msgpack:"host"`
	Path     string           `msgpack:"path"`
	AtMS     int64            `msgpack:"at_ms"`     // time of acceptance, Unix milliseconds
	WithinMS int64            `msgpack:"within_ms"` // from acceptance until all results are due
	RetainMS int64            `msgpack:"retain_ms"` // from acceptance until items without a result may be failed
	Items    []JobItemMessage `msgpack:"items"`
}

// JobItemMessage is an item of a submission.
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

// ResultsArgs are the arguments of Service.Results.
type ResultsArgs struct {
	Job    string `msgpack:"job"`
	After  int    `msgpack:"after"`   // position of the first result
	Most   int    `msgpack:"most"`    // largest size of the results in bytes
	WaitMS int64  `msgpack:"wait_ms"` // how long to wait for the first result
}

// ResultsReply is the reply of Service.Results: a page of results, or an error.
type ResultsReply struct {
	Results []ResultMessage `msgpack:"results"`
	Total   int             `msgpack:"total"` // number of items of the job
	Next    int             `msgpack:"next"`  // position after the last result
	Error   ErrorMessage    `msgpack:"error"`
}

// ResultMessage is the published result of an item.
type ResultMessage struct {
	Item string `msgpack:"item"`
	Text string `msgpack:"text"`
	Done bool   `msgpack:"done"` // the item was completed; otherwise it failed
}

func (m ResultsReply) failure() ErrorMessage { return m.Error }

func (m ResultsReply) page() Page {
	p := Page{itemCount: m.Total, nextPosition: m.Next}
	for _, v := range m.Results {
		p.results = append(p.results, batch.NewResult(v.Item, v.Text, v.Done))
	}

	return p
}

// ItemArgs are the arguments of Service.Body and Service.End: an item, or a job if Item is empty.
type ItemArgs struct {
	Job  string `msgpack:"job"`
	Item string `msgpack:"item"`
}

// BodyReply is the reply of Service.Body: the body of an item, or an error.
type BodyReply struct {
	Body  []byte       `msgpack:"body"`
	Error ErrorMessage `msgpack:"error"`
}

func (m BodyReply) failure() ErrorMessage { return m.Error }
