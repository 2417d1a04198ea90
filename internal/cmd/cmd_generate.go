package cmd

import (
	"context"
	"os"

	"github.com/gravitational/trace"

	"github.com/agategap/agategap/answers"
	"github.com/agategap/agategap/config"
)

var cmdGenerate = &Cmd{
	Name:    "generate",
	Args:    "[-explain] [-o FILE] QUESTIONNAIRE",
	Desc:    "generates a configuration from a questionnaire",
	Example: "agategap generate -o lintas-config.toml examples/lintas.toml",
	Action: func(_ context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		x := f.Bool("explain", false, "print each setting with the answer that caused it instead of the configuration")
		o := f.String("o", "", "file for the configuration; standard output when empty")

		if err := e.parseFlags(f, args, 1, 1); err != nil {
			return err
		}

		b, err := readFile(f.Arg(0))
		if err != nil {
			return err
		}

		r, err := answers.Generate(f.Arg(0), b)
		if err != nil {
			return err
		}

		if *x {
			for _, v := range r.Reasons() {
				e.printf("%s\n", v)
			}

			return nil
		}

		return writeConfig(e, *o, r)
	},
}

func writeConfig(e Env, path string, r answers.Result) error {
	t, err := config.Marshal(r.Document())
	if err != nil {
		return err
	}

	if path == "" {
		e.printf("%s", t)

		return nil
	}

	const mode = 0o644

	return trace.ConvertSystemError(os.WriteFile(path, t, mode))
}
