package cmd

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"burdocksaddle/traffic"
)

const (
	flagCaller  = "caller"
	flagModel   = "model"
	flagService = "service"
	flagFor     = "for"
	flagPause   = "pause"
	// maxTrafficDuration limits the duration of a run.
	maxTrafficDuration = 10 * time.Minute
)

// trafficCommand returns the command that sends every kind of request to a deployment with stand-ins.
func trafficCommand() *cli.Command {
	return &cli.Command{
		Name:  "traffic",
		Usage: "send test requests to entries whose endpoints are stand-ins, for a limited time, and check each response",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagCaller, Value: []string{"http://" + demoCallerAddress}, Usage: "base `URL` of an entry; may be repeated"},
			&cli.StringSliceFlag{Name: flagModel, Value: []string{"quotes", "fault-notes"}, Usage: "`MODEL` to request; may be repeated"},
			&cli.StringFlag{Name: flagService, Value: "dispatch-desk", Usage: "plain `SERVICE` for bookings and lookups"},
			&cli.DurationFlag{Name: flagFor, Value: 10 * time.Second, Usage: "how long requests are sent, at most ten minutes"},
			&cli.DurationFlag{Name: flagPause, Value: 50 * time.Millisecond, Usage: "delay between two requests of one caller"},
		},
		Action: runTraffic,
	}
}

func runTraffic(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}
	length := c.Duration(flagFor)
	if length <= 0 || length > maxTrafficDuration {
		return ErrUsage{Command: c.FullName(), Reason: "takes --for above 0 and up to " + maxTrafficDuration.String()}
	}
	load := traffic.Start(ctx, traffic.Target{
		EntryURLs: c.StringSlice(flagCaller), Models: c.StringSlice(flagModel), Service: c.String(flagService),
		Interval: c.Duration(flagPause), Transport: func() *http.Transport { return &http.Transport{} },
	})
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
	attempts := load.Stop()
	printf(c, "%d requests: %s\n", len(attempts), traffic.Summary(attempts))
	violations := traffic.Checker{Attempts: attempts}.AnswerViolations()
	for _, kind := range slices.Sorted(maps.Keys(violations)) {
		printf(c, "%s: %d, the first: %s\n", kind, len(violations[kind]), violations[kind][0])
	}
	if len(violations) > 0 {
		return ErrTraffic{Violations: len(violations)}
	}
	return nil
}

// ErrTraffic is returned if responses failed a check; Violations is the number of checks that failed.
type ErrTraffic struct{ Violations int }

// Error implements error.
func (e ErrTraffic) Error() string {
	return fmt.Sprintf("found %d kinds of faulty responses, listed above", e.Violations)
}
