package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/outcome"
)

// JobSpec is a batch job as a caller submits it.
type JobSpec struct {
	account  string
	key      string
	service  string
	path     string
	priority int
	deadline time.Time
	items    []job.Item
}

// NewJobSpec returns the job that an account submits under an idempotency key. All items are sent to path at the
// target.
func NewJobSpec(account, key, service, path string, priority int, deadline time.Time, items []job.Item) JobSpec {
	return JobSpec{account: account, key: key, service: service, path: path, priority: priority, deadline: deadline, items: items}
}

// ID returns the job identifier. It is derived from the account and the key, so that a resubmission has the same one.
func (s JobSpec) ID() string {
	h := sha256.Sum256([]byte(s.account + "\x00" + s.key))

	const idBytes = 12

	return "job-" + hex.EncodeToString(h[:idBytes])
}

// Digest returns a digest of the service, the path, the priority and the items, in hex. Two jobs under one key with
// different digests are different jobs. The deadline is left out: by default it depends on the time of the submission.
func (s JobSpec) Digest() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%d\x00", s.service, s.path, s.priority)

	for _, i := range s.items {
		_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(i.CustomID), i.CustomID, len(i.Body), i.Body)
	}

	return hex.EncodeToString(h.Sum(nil))
}

func jobNotFoundError(id string) error {
	return outcome.New(outcome.NotFound, outcome.NotRun, "job %q does not exist", id)
}
