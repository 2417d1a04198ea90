package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"golang.org/x/sync/errgroup"

	"github.com/agategap/agategap/filter"
)

// Targets gives the targets of a service.
type Targets interface {
	TargetsOf(service string) []filter.Target
}

// Lookup asks targets whether they ran a request identifier, with GET /requests/ID.
type Lookup struct {
	client  *Client
	targets Targets
}

// NewLookup returns a lookup at all targets of a service.
func NewLookup(c *Client, t Targets) *Lookup { return &Lookup{client: c, targets: t} }

// maxConcurrentLookups bounds the questions about one request at a time.
const maxConcurrentLookups = 8

// Find asks the targets of a service at the same time. The error is that of a target that did not answer, and only
// counts when no other one knows the request.
func (l *Lookup) Find(ctx context.Context, service, id string) (filter.LookupResponse, bool, error) {
	found := make(chan filter.LookupResponse, 1)

	var g errgroup.Group

	g.SetLimit(maxConcurrentLookups)

	for _, t := range l.targets.TargetsOf(service) {
		g.Go(func() error {
			a, ok, err := l.query(ctx, t, id)
			if ok {
				select {
				case found <- a:
				default:
				}
			}

			return err
		})
	}

	err := g.Wait()

	select {
	case a := <-found:
		return a, true, nil
	default:
		return filter.LookupResponse{}, false, err
	}
}

func (l *Lookup) query(ctx context.Context, t filter.Target, id string) (filter.LookupResponse, bool, error) {
	u := "http://" + t.Address() + "/requests/" + url.PathEscape(id)

	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return filter.LookupResponse{}, false, err
	}

	a, err := l.client.http.Do(q)
	if err != nil {
		return filter.LookupResponse{}, false, err
	}
	defer drainAndClose(a.Body)

	switch a.StatusCode {
	case http.StatusOK:
		b, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))

		return filter.NewLookupResponse(a.StatusCode, a.Header.Get("Content-Type"), b), err == nil, err
	case http.StatusNotFound:
		return filter.LookupResponse{}, false, nil
	default:
		return filter.LookupResponse{}, false, fmt.Errorf("the target answered the lookup with status %d", a.StatusCode)
	}
}
