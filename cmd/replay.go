package cmd

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"burdocksaddle/replay"
)

const (
	defaultReplayHours = 24
	mostReplayHours    = 24 * 14
	mostReplaySeeds    = 1000
)

// replayCommand returns the command that compares placement policies on a trace.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "run an arrival trace through the placement decisions and compare them with baselines",
		Description: "The trace is generated from a seed or read from a CSV of time in seconds, model and\n" +
			"perhaps run time in seconds, without a warm-up.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "tw-west", Usage: "tw-west or kingston"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed of generated traces"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds, from the first one on"},
			&cli.FloatFlag{Name: "hours", Value: defaultReplayHours, Usage: "hours that are counted, after a day of warm-up"},
			&cli.StringFlag{Name: "preset", Usage: "preset in force; the deployment's own when empty"},
			&cli.StringFlag{Name: "trace", Usage: "CSV `FILE` in place of generated traces"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "plot", Usage: "draw the trade-off of the first seed into this PNG `FILE`"},
		},
		Action: replayAction,
	}
}

func replayAction(_ context.Context, c *cli.Command) error {
	if err := none(c); err != nil {
		return err
	}
	hours, count := c.Float("hours"), c.Int("seeds")
	if !(hours > 0 && hours <= mostReplayHours) {
		return ErrUsage{Command: c.FullName(), Reason: "takes --hours above 0 and up to 336"}
	}
	if count < 1 || count > mostReplaySeeds {
		return ErrUsage{Command: c.FullName(), Reason: "takes --seeds from 1 to 1000"}
	}
	deployment, err := replay.Find(c.String("deployment"))
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
		read := first.WithTrace(trace)
		report := replay.Summarize([][]replay.Result{read.Run()})
		report.Deployment, report.Preset, report.Hours = d.Name, read.Catalog.Preset, read.Hours()
		return report, nil
	}
	seeds := make([]uint64, c.Int("seeds"))
	for i := range seeds {
		seeds[i] = c.Uint64("seed") + uint64(i)
	}
	report, err := replay.Seeds(d, seeds, c.Float("hours"), c.String("preset"))
	report.Preset = first.Catalog.Preset
	return report, err
}
