package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const programName = "burdocksaddle"

// New returns the whole command line.
func New() *cli.Command {
	root := group(&cli.Command{
		Name:  programName,
		Usage: "serve rarely used language models on few accelerators",
		Commands: []*cli.Command{
			runCommand(),
			demoCommand(),
			trafficCommand(),
			replayCommand(),
			settingsCommand(),
			catalogCommand(),
			ctlCommand(),
			standinCommand(),
			gatewayCommand(),
			stewardCommand(),
		},
	})
	quiet(root)
	return root
}

// Main runs the command line and returns the exit code; an error is one line on stderr for each fault.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := New()
	root.Writer, root.ErrWriter = stdout, stderr
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	for line := range strings.Lines(err.Error()) {
		_, _ = fmt.Fprintln(stderr, strings.TrimSpace(line))
	}
	if IsErrUsage(err) {
		return exitUsage
	}
	return exitFailure
}

// group makes a command that only holds others: bare it prints its help, an unknown name is refused.
func group(c *cli.Command) *cli.Command {
	c.Action = func(_ context.Context, c *cli.Command) error {
		if name := c.Args().First(); name != "" {
			return ErrUsage{Command: c.FullName(), Reason: fmt.Sprintf("has no command %q", name)}
		}
		return cli.ShowSubcommandHelp(c)
	}
	return c
}

// quiet leaves the printing of errors to Main, for a command and all below it.
func quiet(c *cli.Command) {
	c.HideHelpCommand = true
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return ErrUsage{Command: c.FullName(), Reason: "cannot be called so: " + err.Error()}
	}
	for _, below := range c.Commands {
		quiet(below)
	}
}

// only returns the single argument that a command takes.
func only(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return "", ErrUsage{Command: c.FullName(), Reason: "takes one " + what}
	}
	return c.Args().First(), nil
}

// none refuses arguments.
func none(c *cli.Command) error {
	if c.Args().Present() {
		return ErrUsage{Command: c.FullName(), Reason: fmt.Sprintf("takes no argument %q", c.Args().First())}
	}
	return nil
}

// ErrUsage says that a command was called in a way that it doesn't know.
type ErrUsage struct {
	Command string
	Reason  string
}

// Error names the command, the reason and where help is.
func (err ErrUsage) Error() string {
	return fmt.Sprintf("%s %s; see %s --help", err.Command, err.Reason, err.Command)
}

// IsErrUsage reports whether err holds an ErrUsage.
func IsErrUsage(err error) bool {
	var usage ErrUsage
	return errors.As(err, &usage)
}
