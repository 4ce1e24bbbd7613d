package cmd

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"burdocksaddle/replay"
)

const (
	defaultReplayHours = 24
	maxReplayHours     = 24 * 14
	maxReplaySeeds     = 1000
)

// replayCommand returns the command that compares placement policies on a trace.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay an arrival trace through the placement policy and compare it with baselines",
		Description: "The trace is generated from a seed or read from a CSV file with the columns time in seconds,\n" +
			"model and optionally run time in seconds. A trace from a file has no warm-up.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "tw-west", Usage: "tw-west or kingston"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed of generated traces"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds, starting with the first"},
			&cli.FloatFlag{Name: "hours", Value: defaultReplayHours, Usage: "hours that are evaluated, after a day of warm-up"},
			&cli.StringFlag{Name: "preset", Usage: "preset in force; defaults to that of the deployment"},
			&cli.StringFlag{Name: "trace", Usage: "read the trace from a CSV `FILE` instead of generating it"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "plot", Usage: "plot the trade-off of the first seed to a PNG `FILE`"},
		},
		Action: replayAction,
	}
}

func replayAction(_ context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}
	hours, count := c.Float("hours"), c.Int("seeds")
	if !(hours > 0 && hours <= maxReplayHours) {
		return ErrUsage{Command: c.FullName(), Reason: "takes --hours above 0 and up to 336"}
	}
	if count < 1 || count > maxReplaySeeds {
		return ErrUsage{Command: c.FullName(), Reason: "takes --seeds from 1 to 1000"}
	}
	deployment, err := replay.FindDeployment(c.String("deployment"))
	if err != nil {
		return err
	}
	first, err := replay.NewCase(deployment, c.Uint64("seed"), hours, c.String("preset"))
	if err != nil {
		return err
	}
	report, err := replayReport(c, deployment, first)
	if err != nil {
		return err
	}
	if file := c.String("plot"); file != "" {
		if err := first.Plot(file); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return report.WriteJSON(c.Root().Writer)
	}
	return report.WriteTable(c.Root().Writer)
}

func replayReport(c *cli.Command, d replay.Deployment, first replay.Case) (replay.Report, error) {
	if name := c.String("trace"); name != "" {
		file, err := os.Open(name)
		if err != nil {
			return replay.Report{}, err
		}
		defer func() { _ = file.Close() }()
		trace, err := replay.ReadTrace(file)
		if err != nil {
			return replay.Report{}, err
		}
		replayed := first.WithTrace(trace)
		report := replay.Summarize([][]replay.Result{replayed.Run()})
		report.Deployment, report.Preset, report.Hours = d.Name, replayed.Catalog.Preset, replayed.Hours()
		return report, nil
	}
	seeds := make([]uint64, c.Int("seeds"))
	for i := range seeds {
		seeds[i] = c.Uint64("seed") + uint64(i)
	}
	report, err := replay.RunSeeds(d, seeds, c.Float("hours"), c.String("preset"))
	report.Preset = first.Catalog.Preset
	return report, err
}
