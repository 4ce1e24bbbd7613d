package cmd

import (
	"context"
	"os"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"burdocksaddle/demo"
	"burdocksaddle/logging"
)

// demoCommand returns the command that runs the whole system in one process.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run all roles and the stand-ins in one process on loopback",
		Flags: []cli.Flag{&cli.IntFlag{Name: "verbosity", Usage: "log detail, 0 to 2"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			// Log to stderr, since the instructions are printed to stdout.
			return withLog(ctx, os.Stderr, c.Int("verbosity"), func(_ *logging.Writer, log logr.Logger) error {
				d, err := demo.Start(ctx, log, demo.WithAddresses(demoOperatorAddress, demoCallerAddress))
				if err != nil {
					return err
				}
				printInstructions(c, d)
				return awaitDemo(ctx, cancel, d.Ends())
			})
		},
	}
}

// awaitDemo waits for ctx or for the first component that ends by itself, stops the others and waits until all have ended.
func awaitDemo(ctx context.Context, cancel context.CancelFunc, ends <-chan error) error {
	var firstErr error
	select {
	case firstErr = <-ends:
		cancel()
	case <-ctx.Done():
	}
	for range ends {
		continue
	}
	return firstErr
}

// Preferred addresses of the demo, used if they are free. The operator address is also the default of ctl.
const (
	demoOperatorAddress = "127.0.0.1:7400"
	demoCallerAddress   = "127.0.0.1:8080"
)

func printInstructions(c *cli.Command, d *demo.Demo) {
	caller := d.Callers[0]
	printf(c, "callers:   %s\noperators: %s\n\n", d.Callers, d.Operator)
	printf(c, "curl %s/v1/models\n", caller)
	printf(c, "curl %s/v1/chat/completions -d '{\"model\":\"quotes\",\"messages\":[{\"role\":\"user\",\"content\":\"a quote for two hoses\"}]}'\n", caller)
	printf(c, "curl -N %s/v1/chat/completions -d '{\"model\":\"fault-notes\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"the boom leaks\"}]}'\n", caller)
	printf(c, "curl %s/services/dispatch-desk/bookings -H 'Idempotency-Key: van-1' -d '{\"van\":1}'\n", caller)
	printf(c, "curl %s/operator/v1/catalog\n", d.Operator)
	printf(c, "curl %s/debug/state\n\nstop with Ctrl-C\n", d.Operator)
}
