package outcome_test

import (
	"fmt"
	"time"

	"github.com/agategap/agategap/outcome"
)

func ExampleNew() {
	err := outcome.New(outcome.Overloaded, outcome.NotRun, "no slot within the deadline").
		WithRetryAfter(2 * time.Second)
	e := outcome.From(fmt.Errorf("route: %w", err))
	fmt.Println(e.Code(), e.Effect(), e.RetryAfter())
	// Output: overloaded not_run 2s
}
