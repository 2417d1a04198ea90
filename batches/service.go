package batches

import (
	"context"
	"time"
)

// Service serves the calls that other daemons take here. It never passes them on again.
type Service struct {
	batches *Batches
	callTimeout  time.Duration
}

// serviceTimeout bounds a call of another daemon beyond the wait of a read. The other daemon has given up by then.
const serviceTimeout = remoteCallTimeout - 100*time.Millisecond

// NewService returns the service.
func NewService(b *Batches) *Service { return &Service{batches: b, callTimeout: serviceTimeout} }

// Submit accepts a job.
func (s *Service) Submit(q SubmitArgs, a *ErrorMessage) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	*a = newErrorMessage(s.batches.Submit(ctx, q.submission()))

	return nil
}

// Results returns results of a job.
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

// Body returns the body of an item.
func (s *Service) Body(q ItemArgs, a *BodyReply) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	b, err := s.batches.Body(ctx, q.Job, q.Item)
	a.Body, a.Error = b, newErrorMessage(err)

	return nil
}

// End ends a job.
func (s *Service) End(q ItemArgs, a *ErrorMessage) error {
	ctx, stop := context.WithTimeout(context.Background(), s.callTimeout)
	defer stop()

	*a = newErrorMessage(s.batches.End(ctx, q.Job))

	return nil
}
