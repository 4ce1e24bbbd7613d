package cmd

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"burdocksaddle/node"
	"burdocksaddle/setting"
)

// runCommand returns the command that runs one process with the roles in its settings.
func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a process with the roles in its settings",
		Flags: []cli.Flag{&cli.StringFlag{Name: "config", Usage: "read settings from `FILE`", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := setting.Load(c.String("config"))
			if err != nil {
				return err
			}
			return <-node.New(settings, node.WithLog(newLog(settings.Log.Verbosity))).Run(ctx)
		},
	}
}

// newLog writes one key=value line an event to standard error.
func newLog(verbosity int) logr.Logger {
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(handler)
}

func printf(c *cli.Command, format string, values ...any) {
	_, _ = fmt.Fprintf(c.Root().Writer, format, values...)
}
