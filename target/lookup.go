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

// Targets lists the targets of a service.
type Targets interface {
	TargetsOf(service string) []filter.Target
}

// Lookup asks targets, with GET /requests/ID, whether they ran the request with an identifier.
type Lookup struct {
	client  *Client
	targets Targets
}

// NewLookup returns a lookup that asks all targets that t lists for a service.
func NewLookup(c *Client, t Targets) *Lookup { return &Lookup{client: c, targets: t} }

// maxConcurrentLookups bounds the targets that are asked about one request at a time.
const maxConcurrentLookups = 8

// Find asks the targets of a service about a request, and returns the response of one that ran it. If no target knows
// the request, it returns the error of a target that could not be asked, or no error if all replied.
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

// query asks one target. It returns false without an error if the target does not know the request.
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
		return filter.LookupResponse{}, false, fmt.Errorf("the target responded to the lookup with status %d", a.StatusCode)
	}
}
