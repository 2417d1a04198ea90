// Package cmd implements the command line of agategap: it parses flags, runs the subcommands and maps their errors to
// exit codes. Only the main package uses it.
package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/outcome"
)

// Exit codes. exitUsage is also used for findings in an input file. For an *outcome.Error the effect of the call
// decides: exitNotRun means that the call was not executed, exitUnknown that it may have been.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitUnknown = 4
)

// Cmd is one subcommand. Args, Desc and Example are parts of its usage text.
type Cmd struct {
	Name    string
	Args    string
	Desc    string
	Example string
	Action  func(ctx context.Context, e Env, args []string) error
}

// Env has the standard streams of a subcommand, and the subcommand itself for its usage text.
type Env struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	cmd *Cmd
}

// commands lists all subcommands in the order of the help text.
var commands = []*Cmd{
	cmdServe,
	cmdGenerate,
	cmdCheck,
	cmdPublish,
	cmdConfig,
	cmdJob,
	cmdDump,
	cmdStatus,
	cmdExplain,
	cmdDemo,
	cmdStandin,
	cmdBench,
	cmdSoak,
}

// errUsage means that the arguments are invalid and that the usage text has already been printed.
var errUsage = errors.New("usage")

// Main runs the subcommand that args[0] names and returns the exit code of the process. SIGINT and SIGTERM cancel the
// context of the subcommand.
func Main(args []string, in io.Reader, out, errw io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		printHelp(out)

		if len(args) == 0 {
			return exitUsage
		}

		return exitOK
	}

	for _, c := range commands {
		if c.Name == args[0] {
			err := c.Action(ctx, Env{in: in, out: out, err: errw, cmd: c}, args[1:])

			return reportError(err, errw)
		}
	}

	_, _ = fmt.Fprintf(errw, "agategap: unknown command %q; see agategap help\n", args[0])

	return exitUsage
}

func printHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, "agategap serves online and batch inference on one shared fleet.\n\nCommands:\n")

	for _, c := range commands {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Desc)
	}

	_, _ = fmt.Fprint(w, "\nagategap COMMAND -h shows the flags and an example.\n")
}

// reportError prints err, unless its text has already been printed, and returns the exit code for it.
func reportError(err error, w io.Writer) int {
	var l *finding.List

	var o *outcome.Error

	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &l):
		_, _ = fmt.Fprintln(w, l.Error())

		return exitUsage
	}

	_, _ = fmt.Fprintln(w, "agategap:", err)

	if errors.As(err, &o) {
		switch o.Effect() {
		case outcome.NotRun:
			return exitNotRun
		case outcome.Unknown:
			return exitUnknown
		}
	}

	return exitFailed
}

// newFlagSet returns an empty flag set for the subcommand. Its Usage prints arguments, description, flags and example.
func (e Env) newFlagSet() *flag.FlagSet {
	f := flag.NewFlagSet("agategap "+e.cmd.Name, flag.ContinueOnError)
	f.SetOutput(e.err)
	f.Usage = func() {
		_, _ = fmt.Fprintf(e.err, "agategap %s %s\n\n%s\n\n", e.cmd.Name, e.cmd.Args, e.cmd.Desc)
		f.PrintDefaults()
		_, _ = fmt.Fprintf(e.err, "\nExample:\n  %s\n", e.cmd.Example)
	}

	return f
}

// withSubcommand returns the environment of a nested subcommand, such as "job submit", with its own usage text.
func (e Env) withSubcommand(name, args, desc, example string) Env {
	e.cmd = &Cmd{Name: e.cmd.Name + " " + name, Args: args, Desc: desc, Example: example}

	return e
}

// parseFlags parses args and checks the number of arguments that follow the flags.
func (e Env) parseFlags(f *flag.FlagSet, args []string, minArgs, maxArgs int) error {
	if err := f.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}

		return errUsage
	}

	if f.NArg() < minArgs || f.NArg() > maxArgs {
		f.Usage()

		return errUsage
	}

	return nil
}

// usageErrorf prints a message about a missing or invalid flag and the usage text, and returns errUsage.
func (e Env) usageErrorf(f *flag.FlagSet, format string, a ...any) error {
	_, _ = fmt.Fprintf(e.err, "agategap %s: %s\n\n", e.cmd.Name, fmt.Sprintf(format, a...))
	f.Usage()

	return errUsage
}

func (e Env) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(e.out, format, a...)
}

// sleep waits for d. It reports whether d has passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
