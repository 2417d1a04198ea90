// Package driver runs the cases of the review against the built program on loopback. Its test binary is the command: it
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package driver_test

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// caseLimit ends a case that takes too long.
const caseLimit = 115 * time.Second

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

type result struct {
	broken bool
	err    error
}

// TestMain runs one case. The package has no other tests.
func TestMain(*testing.M) {
	cases := map[string]func(rec *recorder, trouble bool) (bool, error){
		"late-items": lateItems, "restart-load": restartLoad, "lost-service": lostService, "silent-store": silentStore,
		"moved-route": movedRoute, "deadly": deadly,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with the disruption: %v", os.Args[1], trouble)

	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](rec, trouble)
		done <- result{broken, err}
	}()

	var r result
	select {
	case r = <-done:
	case <-ended:
		r.err = errors.New("the script was ended")
	case <-time.After(caseLimit):
		r.err = errors.New("the time is over")
	}
	closeSystem()

	switch {
	case r.err != nil:
		rec.line("RESULT: the case could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		os.Exit(exitCannotRun)
	case r.broken:
		rec.line("RESULT: the rule was broken")
		fmt.Println("broken")
		os.Exit(exitBroken)
	default:
		rec.line("RESULT: the rule held")
		fmt.Println("held")
		os.Exit(exitHeld)
	}
}

var (
	currentMu sync.Mutex
	current   *system // whose processes closeSystem ends
)

// closeSystem ends the processes of the case, also if the case has not ended.
func closeSystem() {
	currentMu.Lock()
	defer currentMu.Unlock()
	if current != nil {
		current.close()
		current = nil
	}
}
