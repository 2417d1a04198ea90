package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// IsLeaving asks the target at an IP number with a port whether it is leaving, by GET /v1/state.
func (c *Client) IsLeaving(ctx context.Context, address string) (bool, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return false, err
	}

	a, err := c.http.Do(r)
	if err != nil {
		return false, err
	}
	defer drainAndClose(a.Body)

	if a.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", a.StatusCode)
	}

	var v struct {
		Leaving bool `json:"leaving"`
	}

	err = json.NewDecoder(io.LimitReader(a.Body, maxErrorBytes)).Decode(&v)

	return v.Leaving, err
}
