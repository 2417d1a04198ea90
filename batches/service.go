package batches

import (
	"context"
	"time"
)

// Service is the net/rpc service that executes calls of other daemons about jobs on the local Batches. It never
// forwards them to a third daemon.
type Service struct {
	batches     *Batches
	callTimeout time.Duration
}

// serviceTimeout bounds a call of another daemon, in addition to the wait for results. It is shorter than
// remoteCallTimeout, so that the reply arrives before the call times out.
const serviceTimeout = remoteCallTimeout - 100*time.Millisecond

// NewService returns the service for b.
func NewService(b *Batches) *Service { return &Service{batches: b, callTimeout: serviceTimeout} }

// Submit calls Batches.Submit.
func (s *Service) Submit(q SubmitArgs, a *ErrorMessage) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	*a = newErrorMessage(s.batches.Submit(ctx, q.submission()))

	return nil
}

// Results calls Batches.Results.
func (s *Service) Results(q ResultsArgs, a *ResultsReply) error {
	wait := time.Duration(q.WaitMS) * time.Millisecond

	ctx, stop := context.WithTimeout(context.Background(), wait+s.callTimeout)
	defer stop()

	p, err := s.batches.Results(ctx, q.Job, q.After, q.Most, wait)
	a.Total, a.Next, a.Error = p.ItemCount(), p.NextPosition(), newErrorMessage(err)

	for _, v := range p.Results() {
		a.Results = append(a.Results, ResultMessage{Item: v.Item(), Text: v.Text(), Done: v.IsCompleted()})
	}

	return nil
}

// Body calls Batches.Body.
func (s *Service) Body(q ItemArgs, a *BodyReply) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	b, err := s.batches.Body(ctx, q.Job, q.Item)
	a.Body, a.Error = b, newErrorMessage(err)

	return nil
}

// End calls Batches.End.
func (s *Service) End(q ItemArgs, a *ErrorMessage) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	*a = newErrorMessage(s.batches.End(ctx, q.Job))

	return nil
}
