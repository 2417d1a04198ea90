package integration_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// jobStatus is the status of a batch job as the caller API returns it.
type jobStatus struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Items   int    `json:"items"`
	Done    int    `json:"done"`
	Failed  int    `json:"failed"`
	Unknown int    `json:"unknown"`
	Pending int    `json:"pending"`
}

// submitJob submits a job for a service to a daemon with an idempotency key. It returns the status of the job and the
// response.
func (s *deployment) submitJob(address, service, key, body string) (jobStatus, response) {
	a := s.call(address, http.MethodPost, "/v1/batches?service="+service+"&path=/v1/chat/completions", key, body)

	var j jobStatus

	_ = json.Unmarshal([]byte(a.body), &j)

	return j, a
}

func (s *deployment) jobStatus(address, id string) (jobStatus, response) {
	a := s.call(address, http.MethodGet, "/v1/batches/"+id, "", "")

	var j jobStatus

	_ = json.Unmarshal([]byte(a.body), &j)

	return j, a
}

// jobItems returns the body of a job submission with n items, the response of each of which has the given number of
// tokens. The items whose index is in failing always fail.
func jobItems(n, tokens int, failing map[int]bool) string {
	var b strings.Builder

	for i := range n {
		p := fmt.Sprintf("item %d tokens=%d", i, tokens)
		if failing[i] {
			p = "fail:always"
		}

		fmt.Fprintf(&b, `{"custom_id":"i-%d","body":{"messages":[{"role":"user","content":%q}]}}`+"\n", i, p)
	}

	return b.String()
}
