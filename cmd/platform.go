package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"burdocksaddle/logging"
	"burdocksaddle/platform"
)

// gatewayCommand returns the command that runs a gateway of a platform deployment.
func gatewayCommand() *cli.Command {
	return platformCommand("gateway", "accept client requests on the platform", platform.RunGateway)
}

// stewardCommand returns the command that runs a steward of a platform deployment.
func stewardCommand() *cli.Command {
	return platformCommand("steward", "maintain the table, decide the placement of models and send orders to their endpoints", platform.RunSteward)
}

func platformCommand(name, usage string, run func(context.Context, platform.Settings, platform.Telemetry) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			// A reload signal that arrives before the settings are watched, or after, must not end the process.
			signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
			settings, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			return withLog(ctx, os.Stdout, 0, func(writer *logging.Writer, log logr.Logger) error {
				return run(ctx, settings, platform.Telemetry{
					Log: log.WithValues("node", settings.Node), Metrics: metrics.NewSet(), DroppedLogLines: writer.Dropped,
				})
			})
		},
	}
}
