// Command three runs the scripts of the third review: gateways and stewards as separate processes on loopback addresses, with the project's
// stand-ins for the platform, its endpoints, callers and operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

// exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime is how long a script may run.
const maxRunTime = 110 * time.Second

// scenario is a script; trouble is unset for a run without the disruption. It returns whether the rule was broken.
type scenario func(c *cluster, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{"first-start": firstStart, "lost-disk": lostDisk, "silent-voter": silentVoter}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: three SCENARIO RECORD")
		return exitNotRun
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	c, err := newCluster(ctx, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	c.note("scenario " + os.Args[1] + ", trouble " + strconv.FormatBool(trouble))
	broken, err := scenarios[os.Args[1]](c, trouble)
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		c.note("could not run: " + err.Error())
		return exitNotRun
	case broken:
		c.note("the rule was broken")
		return exitBroken
	}
	c.note("the rule held")
	return exitHeld
}

// errNotStarted reports that the cluster did not serve without a disruption.
var errNotStarted = errors.New("the cluster did not serve in time")
