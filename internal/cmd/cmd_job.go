package cmd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"

	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/front"
	"github.com/agategap/agategap/outcome"
)

var cmdJob = &Cmd{
	Name:    "job",
	Args:    "submit|status|cancel|results|amend [flags] FILE|ID",
	Desc:    "submits, follows and changes batch jobs over the callers' interface",
	Example: "AGATEGAP_KEY=... agategap job submit -address 127.0.0.1:7001 -service notices -wait night.jsonl",
	Action: func(ctx context.Context, e Env, args []string) error {
		if len(args) == 0 {
			e.newFlagSet().Usage()

			return errUsage
		}

		a, ok := jobActionConstructors[args[0]]
		if !ok {
			if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
				e.newFlagSet().Usage()

				return flag.ErrHelp
			}

			return e.usageErrorf(e.newFlagSet(), "%q is not one of submit, status, cancel, results, amend", args[0])
		}

		h := jobHelp[args[0]]
		e = e.withSubcommand(args[0], h[0], h[1], "agategap job "+args[0]+" "+h[2])
		f := e.newFlagSet()
		c := newCallerFlags(f)
		do := a(f)

		if err := e.parseFlags(f, args[1:], 1, 1); err != nil {
			return err
		}

		v, err := c.newClient()
		if err != nil {
			return err
		}

		return do(ctx, jobCommand{env: e, client: v, arg: f.Arg(0)})
	},
}

// jobCommand is one invocation of a job subcommand. arg is the file or the identifier of the job.
type jobCommand struct {
	env    Env
	client *callerClient
	arg    string
}

// jobAction runs a job subcommand after its flags were parsed.
type jobAction func(ctx context.Context, c jobCommand) error

// jobActionConstructors has, by subcommand, the function that defines the flags and returns the action.
var jobActionConstructors = map[string]func(f *flag.FlagSet) jobAction{
	"submit":  newSubmitAction,
	"status":  newStatusAction,
	"cancel":  newCancelAction,
	"results": newResultsAction,
	"amend":   newAmendAction,
}

// jobHelp has, by subcommand, the arguments, the description, and the arguments of the example.
var jobHelp = map[string][3]string{
	"submit":  {"-service NAME [flags] FILE", "submits a file of JSON lines as a batch job and prints the job's identifier", "-service notices -deadline 8h -wait night.jsonl"},
	"status":  {"[flags] ID", "prints the status of a job", "-wait job-1f0c"},
	"cancel":  {"[flags] ID", "stops a job; items that ran keep their results", "job-1f0c"},
	"results": {"[flags] ID", "prints the results of a job as JSON lines", "-o results.jsonl job-1f0c"},
	"amend":   {"[-deadline TIME] [-priority N] [flags] ID", "changes the deadline or the priority of a job", "-deadline 2h -priority 5 job-1f0c"},
}

// jobState is the status of a job in a response of the caller interface.
type jobState struct{ front.JobStatus }

func (s jobState) isRunning() bool { return s.State != "finished" && s.State != "cancelled" }

// jobChangeFlags are the flags that submit and amend share.
type jobChangeFlags struct {
	deadline *time.Duration
	priority *int
	flags    *flag.FlagSet
}

func newJobChangeFlags(f *flag.FlagSet) jobChangeFlags {
	return jobChangeFlags{
		deadline: f.Duration("deadline", 0, "time from now until the deadline"),
		priority: f.Int("priority", 0, "priority among batch jobs; higher goes first"),
		flags:    f,
	}
}

// query returns the values of those flags that were set.
func (j jobChangeFlags) query() url.Values {
	q := url.Values{}

	j.flags.Visit(func(f *flag.Flag) {
		if f.Name == "deadline" || f.Name == "priority" {
			q.Set(f.Name, f.Value.String())
		}
	})

	return q
}

func newSubmitAction(f *flag.FlagSet) jobAction {
	s := f.String("service", "", "service that runs the items")
	p := f.String("path", "", "path of every item at the target; /v1/chat/completions when empty")
	k := f.String("key", "", "idempotency key; from the digest of the file and of the settings when empty, so that the same file again is the same job")
	w := f.Bool("wait", false, "wait until the job has ended, with a progress bar on a terminal")
	j := f.Bool("json", false, "print the job's status as JSON")
	g := newJobChangeFlags(f)

	return func(ctx context.Context, c jobCommand) error {
		if *s == "" {
			return c.env.usageErrorf(f, "-service is required")
		}

		b, err := readFile(c.arg)
		if err != nil {
			return err
		}

		if err := checkItems(c.arg, b); err != nil {
			return err
		}

		q := g.query()
		q.Set("service", *s)

		if *p != "" {
			q.Set("path", *p)
		}

		if *k == "" {
			*k = newIdempotencyKey(q, b)
		}

		id, err := c.submit(ctx, q, *k, b)
		if err != nil {
			return err
		}

		if !*w && !*j {
			c.env.printf("%s\n", id)

			return nil
		}

		c.arg = id

		return c.printStatus(ctx, *w, *j)
	}
}

// checkItems returns a *finding.List with the invalid lines of a file, so that they are reported before anything is
// sent.
func checkItems(path string, b []byte) error {
	_, err := front.ParseItems(b)

	var l *finding.List
	if !errors.As(err, &l) {
		return err
	}

	var o finding.List
	for _, v := range l.Findings() {
		o.Addf(path, v.Line(), v.Key(), "%s", v.Message())
	}

	return o.Err()
}

// newIdempotencyKey derives the key of a submission from the file and the settings, so that another submission of the
// same file with the same settings is the same job. The deadline is left out, because it is relative to the time of
// submission.
func newIdempotencyKey(q url.Values, b []byte) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00", q.Get("service"), q.Get("path"), q.Get("priority"))
	_, _ = h.Write(b)

	return "file-" + hex.EncodeToString(h.Sum(nil))
}

// submit sends a job and returns its identifier. It retries up to 3 times if the outcome is unknown, which is safe as
// the idempotency key makes every submission the same job.
func (c jobCommand) submit(ctx context.Context, q url.Values, idempotencyKey string, b []byte) (string, error) {
	const (
		attempts   = 4
		retryDelay = time.Second
	)

	for n := 1; ; n++ {
		var s jobState

		err := c.callJSON(ctx, http.MethodPost, "/v1/batches?"+q.Encode(), idempotencyKey, b, &s)
		if err == nil {
			return s.ID, nil
		}

		if n == attempts || outcome.From(err).Effect() != outcome.Unknown || !sleep(ctx, retryDelay) {
			return "", err
		}
	}
}

// callJSON sends a repeatable request and decodes the JSON response into v.
func (c jobCommand) callJSON(ctx context.Context, method, path, idempotencyKey string, body []byte, v any) error {
	a, err := c.client.call(ctx, method, path, idempotencyKey, body, true)
	if err != nil {
		return err
	}
	defer func() { _ = a.Close() }()

	if err := json.NewDecoder(a).Decode(v); err != nil {
		return outcome.New(outcome.IncompleteResponse, outcome.Unknown, "the response is incomplete").WithCause(err)
	}

	return nil
}

// jobPath returns the URL path of the job followed by suffix.
func (c jobCommand) jobPath(suffix string) string {
	return "/v1/batches/" + url.PathEscape(c.arg) + suffix
}

func (c jobCommand) fetchStatus(ctx context.Context) (jobState, error) {
	var s jobState

	err := c.callJSON(ctx, http.MethodGet, c.jobPath(""), "", nil, &s)

	return s, err
}

func newStatusAction(f *flag.FlagSet) jobAction {
	w := f.Bool("wait", false, "wait until the job has ended, with a progress bar on a terminal")
	j := f.Bool("json", false, "print JSON")

	return func(ctx context.Context, c jobCommand) error { return c.printStatus(ctx, *w, *j) }
}

// statusInterval is the time between two queries of a job's status.
const statusInterval = 500 * time.Millisecond

// printStatus prints the status of a job. If wait is set, it first waits until the job has ended and retries status
// queries that fail, unless the job is not found.
func (c jobCommand) printStatus(ctx context.Context, wait, asJSON bool) error {
	s, err := c.fetchStatus(ctx)
	if err != nil {
		return err
	}

	p := c.newProgressBar(wait && !asJSON, s)

	for wait && s.isRunning() {
		_ = p.Set(s.Items - s.Pending)

		if !sleep(ctx, statusInterval) {
			return outcome.New(outcome.InProgress, outcome.Unknown, "job %s is %s with %d of %d items pending", s.ID, s.State, s.Pending, s.Items)
		}

		n, err := c.fetchStatus(ctx)
		if err == nil {
			s = n
		} else if outcome.From(err).Code() == outcome.NotFound {
			return err
		}
	}

	_ = p.Set(s.Items - s.Pending)
	_ = p.Exit()

	return c.print(s, asJSON)
}

// newProgressBar returns a progress bar on standard error. It shows nothing unless show is set and standard error is a
// terminal.
func (c jobCommand) newProgressBar(show bool, s jobState) *progressbar.ProgressBar {
	w := c.env.err
	if !show || !isTerminal(w) {
		w = io.Discard
	}

	return progressbar.NewOptions(s.Items, progressbar.OptionSetWriter(w), progressbar.OptionSetDescription(s.ID),
		progressbar.OptionShowCount(), progressbar.OptionOnCompletion(func() { _, _ = fmt.Fprintln(w) }))
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}

	i, err := f.Stat()

	return err == nil && i.Mode()&os.ModeCharDevice != 0
}

func (c jobCommand) print(s jobState, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(c.env.out).Encode(s)
	}

	c.env.printf("%s %s: %d items, %d done, %d failed, %d unknown, %d pending; service %s, priority %d, deadline %s\n",
		s.ID, s.State, s.Items, s.Done, s.Failed, s.Unknown, s.Pending, s.Service, s.Priority, s.Deadline.Format(time.RFC3339))

	return nil
}

func newCancelAction(f *flag.FlagSet) jobAction {
	j := f.Bool("json", false, "print the job's status as JSON")

	return func(ctx context.Context, c jobCommand) error { return c.postChange(ctx, "/cancel", *j) }
}

func newAmendAction(f *flag.FlagSet) jobAction {
	j := f.Bool("json", false, "print the job's status as JSON")
	g := newJobChangeFlags(f)

	return func(ctx context.Context, c jobCommand) error {
		q := g.query()
		if len(q) == 0 {
			return c.env.usageErrorf(f, "-deadline or -priority is required")
		}

		return c.postChange(ctx, "/amend?"+q.Encode(), *j)
	}
}

// postChange posts an idempotent change of the job and prints the resulting status.
func (c jobCommand) postChange(ctx context.Context, path string, asJSON bool) error {
	var s jobState
	if err := c.callJSON(ctx, http.MethodPost, c.jobPath(path), "", nil, &s); err != nil {
		return err
	}

	return c.print(s, asJSON)
}

func newResultsAction(f *flag.FlagSet) jobAction {
	o := f.String("o", "", "file for the results; standard output when empty")

	return func(ctx context.Context, c jobCommand) error {
		a, err := c.client.call(ctx, http.MethodGet, c.jobPath("/results"), "", nil, true)
		if err != nil {
			return err
		}
		defer func() { _ = a.Close() }()

		// Read all results first, so that a lost connection leaves no file that looks complete.
		b, err := io.ReadAll(a)
		if err != nil {
			return outcome.New(outcome.IncompleteResponse, outcome.Unknown, "the results are incomplete; repeat the command").WithCause(err)
		}

		if *o != "" {
			const mode = 0o600

			return os.WriteFile(*o, b, mode)
		}

		_, err = io.Copy(c.env.out, bytes.NewReader(b))

		return err
	}
}
