package cmd

import (
	"context"
	"os"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"burdocksaddle/demo"
	"burdocksaddle/logging"
)

// demoCommand returns the command that runs everything in one process.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run all roles and the stand-ins in one process on loopback",
		Flags: []cli.Flag{&cli.IntFlag{Name: "verbosity", Usage: "log detail, 0 to 2"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			// Standard output is for what to type.
			return withLog(ctx, os.Stderr, c.Int("verbosity"), func(_ *logging.Writer, log logr.Logger) error {
				d, err := demo.Start(ctx, log, demo.WithAddresses(demoOperator, demoCaller))
				if err != nil {
					return err
				}
				explain(c, d)
				return stopDemo(ctx, cancel, d.Ends())
			})
		},
	}
}

// stopDemo waits for a signal or for the first part that ends by itself, and then for all others.
func stopDemo(ctx context.Context, cancel context.CancelFunc, ends <-chan error) error {
	var first error
	select {
	case first = <-ends:
		cancel()
	case <-ctx.Done():
	}
	for range ends {
		continue
	}
	return first
}

// Addresses of the demo where they are free; ctl takes the first by default.
const (
	demoOperator = "127.0.0.1:7400"
	demoCaller   = "127.0.0.1:8080"
)

func explain(c *cli.Command, d *demo.Demo) {
	caller := d.Callers[0]
	printf(c, "callers:   %s\noperators: %s\n\n", d.Callers, d.Operator)
	printf(c, "curl %s/v1/models\n", caller)
	printf(c, "curl %s/v1/chat/completions -d '{\"model\":\"quotes\",\"messages\":[{\"role\":\"user\",\"content\":\"a quote for two hoses\"}]}'\n", caller)
	printf(c, "curl -N %s/v1/chat/completions -d '{\"model\":\"fault-notes\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"the boom leaks\"}]}'\n", caller)
	printf(c, "curl %s/services/dispatch-desk/bookings -H 'Idempotency-Key: van-1' -d '{\"van\":1}'\n", caller)
	printf(c, "curl %s/operator/v1/catalog\n", d.Operator)
	printf(c, "curl %s/debug/state\n\nstop with Ctrl-C\n", d.Operator)
}
