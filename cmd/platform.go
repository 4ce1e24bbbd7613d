package cmd

import (
	"context"
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"burdocksaddle/platform"
)

// gatewayCommand returns the command that runs an entry machine of a platform deployment.
func gatewayCommand() *cli.Command {
	return platformCommand("gateway", "take clients' requests on the platform", platform.RunGateway)
}

// stewardCommand returns the command that runs a core machine of a platform deployment.
func stewardCommand() *cli.Command {
	return platformCommand("steward", "keep the table and the models on the platform", platform.RunSteward)
}

// sidecarCommand returns the command that runs beside a model worker of a platform deployment.
func sidecarCommand() *cli.Command {
	return platformCommand("sidecar", "give the model worker of this machine its orders", platform.RunSidecar)
}

func platformCommand(name, usage string, run func(context.Context, platform.Settings, logr.Logger) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := none(c); err != nil {
				return err
			}
			settings, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			handler := slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{Level: slog.LevelInfo})
			return run(ctx, settings, logr.FromSlogHandler(handler).WithValues("node", settings.Node))
		},
	}
}
