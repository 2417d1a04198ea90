package integration_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// job is the status of a batch job.
type job struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Items   int    `json:"items"`
	Done    int    `json:"done"`
	Failed  int    `json:"failed"`
	Unknown int    `json:"unknown"`
	Pending int    `json:"pending"`
}

func (s *system) submit(address, service, key, body string) (job, answer) {
	a := s.call(address, http.MethodPost, "/v1/batches?service="+service+"&path=/v1/chat/completions", key, body)

	var j job

	_ = json.Unmarshal([]byte(a.body), &j)

	return j, a
}

func (s *system) status(address, id string) (job, answer) {
	a := s.call(address, http.MethodGet, "/v1/batches/"+id, "", "")

	var j job

	_ = json.Unmarshal([]byte(a.body), &j)

	return j, a
}

// items returns the body of a job; every item in bad can never be done.
func items(n, tokens int, bad map[int]bool) string {
	var b strings.Builder

	for i := range n {
		p := fmt.Sprintf("item %d tokens=%d", i, tokens)
		if bad[i] {
			p = "fail:always"
		}

		fmt.Fprintf(&b, `{"custom_id":"i-%d","body":{"messages":[{"role":"user","content":%q}]}}`+"\n", i, p)
	}

	return b.String()
}
