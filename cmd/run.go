package cmd

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

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
			abandon, stop := secondSignal(ctx)
			defer stop()
			return <-node.New(settings, node.WithLog(newLog(settings.Log.Verbosity)), node.WithAbandon(abandon)).Run(ctx)
		},
	}
}

// secondSignal returns a context that ends at a signal after the one that ended ctx.
func secondSignal(ctx context.Context) (abandon context.Context, stop func()) {
	abandon, cancel := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		defer signal.Stop(signals)
		select {
		case <-signals:
			cancel()
		case <-abandon.Done():
		}
	})
	return abandon, cancel
}

// newLog writes one key=value line an event to standard error.
func newLog(verbosity int) logr.Logger {
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(handler)
}

func printf(c *cli.Command, format string, values ...any) {
	_, _ = fmt.Fprintf(c.Root().Writer, format, values...)
}
