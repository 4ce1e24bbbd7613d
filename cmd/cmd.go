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

// New returns the root command with all subcommands.
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
	disableErrorOutput(root)
	return root
}

// Main runs the command line and returns the exit code. Errors are printed to stderr, one line per problem.
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

// group turns c into a command that only contains subcommands. Without arguments it prints its help; an unknown subcommand is
// a usage error.
func group(c *cli.Command) *cli.Command {
	c.Action = func(_ context.Context, c *cli.Command) error {
		if name := c.Args().First(); name != "" {
			return ErrUsage{Command: c.FullName(), Reason: fmt.Sprintf("has no command %q", name)}
		}
		return cli.ShowSubcommandHelp(c)
	}
	return c
}

// disableErrorOutput leaves the printing of errors to Main, for a command and all its subcommands.
func disableErrorOutput(c *cli.Command) {
	c.HideHelpCommand = true
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return ErrUsage{Command: c.FullName(), Reason: "cannot parse its arguments: " + err.Error()}
	}
	for _, subcommand := range c.Commands {
		disableErrorOutput(subcommand)
	}
}

// singleArgument returns the command's only argument, or a usage error that names it as what.
func singleArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return "", ErrUsage{Command: c.FullName(), Reason: "takes one " + what}
	}
	return c.Args().First(), nil
}

// noArguments returns a usage error if the command was given arguments.
func noArguments(c *cli.Command) error {
	if c.Args().Present() {
		return ErrUsage{Command: c.FullName(), Reason: fmt.Sprintf("takes no argument %q", c.Args().First())}
	}
	return nil
}

// ErrUsage is returned if a command was called with invalid arguments or flags.
type ErrUsage struct {
	Command string
	Reason  string
}

// Error returns the command, the reason and how to get help.
func (err ErrUsage) Error() string {
	return fmt.Sprintf("%s %s; see %s --help", err.Command, err.Reason, err.Command)
}

// IsErrUsage reports whether err wraps an ErrUsage.
func IsErrUsage(err error) bool {
	var usage ErrUsage
	return errors.As(err, &usage)
}
