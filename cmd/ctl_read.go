package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/operatorapi"

	"github.com/urfave/cli/v3"
)

// holdTime is how long the control holds one answer to a wait.
const holdTime = 5 * time.Second

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the catalog or one part of it",
		ArgsUsage: "[services|models|adapters|endpoints|presets|preset|version]",
		Action:    getCatalog,
	}
}

func getCatalog(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return ErrUsage{Command: c.FullName(), Reason: "takes at most one part"}
	}
	got, err := get(ctx, c, operatorapi.PathCatalog)
	if err != nil {
		return err
	}
	var held catalog.Catalog
	if err := json.Unmarshal(got.body, &held); err != nil {
		return ErrAnswerInvalid{Path: operatorapi.PathCatalog, Cause: err}
	}
	part, known := partOf(held, c.Args().First())
	if !known {
		return ErrUsage{Command: c.FullName(), Reason: fmt.Sprintf("knows no part %q", c.Args().First())}
	}
	data, err := json.Marshal(part)
	if err != nil {
		return err
	}
	return printJSON(c, data)
}

func partOf(held catalog.Catalog, name string) (any, bool) {
	switch name {
	case "":
		return held, true
	case "services":
		return held.Services, true
	case "models":
		return held.Models, true
	case "adapters":
		return held.Adapters, true
	case "endpoints":
		return held.Endpoints, true
	case "presets":
		return held.Presets, true
	case "preset":
		return held.Preset, true
	case "version":
		return held.Version, true
	default:
		return nil, false
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "print what changed between two versions",
		ArgsUsage: "FROM TO",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return ErrUsage{Command: c.FullName(), Reason: "takes two versions, FROM and TO"}
			}
			query := url.Values{}
			for i, name := range []string{operatorapi.QueryFrom, operatorapi.QueryTo} {
				version, err := parseVersion(c, c.Args().Get(i))
				if err != nil {
					return err
				}
				query.Set(name, strconv.FormatUint(version, 10))
			}
			return printPath(ctx, c, operatorapi.PathDiff+"?"+query.Encode())
		},
	}
}

func waitCommand() *cli.Command {
	return &cli.Command{
		Name:      "wait",
		Usage:     "wait until a version is in force everywhere",
		ArgsUsage: "VERSION",
		Action: func(ctx context.Context, c *cli.Command) error {
			version, err := versionOf(c)
			if err != nil {
				return err
			}
			to, err := clientOf(c)
			if err != nil {
				return err
			}
			if err := waitFor(ctx, to, version); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "version %d is in force\n", version)
			return err
		},
	}
}

// waitFor asks until the version is in force or the client's timeout has passed.
func waitFor(ctx context.Context, to client, version uint64) error {
	end := time.Now().Add(to.timeout)
	for {
		held := max(0, min(holdTime, time.Until(end)))
		state, err := waitOnce(ctx, to, version, held)
		if err != nil || state.InForce {
			return err
		}
		if !time.Now().Before(end) {
			return ErrNotInForce{Version: version, Waiting: state.Waiting}
		}
		if err := pause(ctx, min(shortPause, time.Until(end))); err != nil {
			return err
		}
	}
}

// shortPause keeps a control that doesn't hold its answers from being asked too often.
const shortPause = 100 * time.Millisecond

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func waitOnce(ctx context.Context, to client, version uint64, held time.Duration) (operatorapi.InForce, error) {
	query := url.Values{}
	query.Set(operatorapi.QueryVersion, strconv.FormatUint(version, 10))
	query.Set(operatorapi.QueryTimeoutMS, strconv.FormatInt(held.Milliseconds(), 10))
	var state operatorapi.InForce
	got, err := to.do(ctx, call{method: http.MethodGet, path: operatorapi.PathWait + "?" + query.Encode(), held: held})
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(got.body, &state); err != nil {
		return state, ErrAnswerInvalid{Path: operatorapi.PathWait, Cause: err}
	}
	return state, nil
}

// ErrAnswerInvalid says that an answer isn't what the operator API promises.
type ErrAnswerInvalid struct {
	Path  string
	Cause error
}

// Error names the path and the cause.
func (err ErrAnswerInvalid) Error() string {
	return fmt.Sprintf("the answer of %s cannot be read: %v", err.Path, err.Cause)
}

// Unwrap returns the cause.
func (err ErrAnswerInvalid) Unwrap() error {
	return err.Cause
}

// IsErrAnswerInvalid reports whether err holds an ErrAnswerInvalid.
func IsErrAnswerInvalid(err error) bool {
	var invalid ErrAnswerInvalid
	return errors.As(err, &invalid)
}
