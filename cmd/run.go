package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"burdocksaddle/logging"
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
			debug.SetMemoryLimit(int64(settings.Limits.MemoryMB) << 20 / 100 * heapShare)
			abort, stop := secondSignal(ctx)
			defer stop()
			return withLog(ctx, os.Stdout, settings.Log.Verbosity, func(writer *logging.Writer, log logr.Logger) error {
				metrics.GetOrCreateGauge(metricDroppedLines, func() float64 { return float64(writer.Dropped()) })
				return <-node.New(settings, node.WithLog(log), node.WithAbort(abort)).Run(ctx)
			})
		},
	}
}

// heapShare is the percentage of the process's memory that is the garbage collector's limit; the rest is for stacks and for the kernel.
const heapShare = 60

const metricDroppedLines = "burdocksaddle_dropped_log_lines"

// secondSignal returns a context that is canceled by the next SIGINT or SIGTERM after ctx has ended.
func secondSignal(ctx context.Context) (abort context.Context, stop func()) {
	abort, cancel := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		defer signal.Stop(signals)
		select {
		case <-signals:
			cancel()
		case <-abort.Done():
		}
	})
	return abort, cancel
}

// logFlushTimeout limits how long a command waits at its end for its last log lines to be written.
const logFlushTimeout = time.Second

// withLog calls run with a logger that writes to out, and returns once all lines are written or out has blocked for logFlushTimeout.
func withLog(ctx context.Context, out io.Writer, verbosity int, run func(*logging.Writer, logr.Logger) error) error {
	writer := logging.New(out)
	writeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	written := writer.Run(writeCtx)
	err := run(writer, writer.Logger(verbosity))
	stop()
	select {
	case writeErr := <-written:
		return errors.Join(err, writeErr)
	case <-time.After(logFlushTimeout):
		return errors.Join(err, ErrLogBlocked{})
	}
}

// ErrLogBlocked is returned if the last log lines could not be written in time.
type ErrLogBlocked struct{}

// Error implements error.
func (ErrLogBlocked) Error() string { return "the log output is blocked; the last lines are lost" }

func printf(c *cli.Command, format string, values ...any) {
	_, _ = fmt.Fprintf(c.Root().Writer, format, values...)
}
