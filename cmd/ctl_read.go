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

// longPollTimeout is how long the control member may delay one response to a wait request.
const longPollTimeout = 5 * time.Second

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
	var current catalog.Catalog
	if err := json.Unmarshal(got.body, &current); err != nil {
		return ErrResponseInvalid{Path: operatorapi.PathCatalog, Cause: err}
	}
	part, known := catalogPart(current, c.Args().First())
	if !known {
		return ErrUsage{Command: c.FullName(), Reason: fmt.Sprintf("has no part %q", c.Args().First())}
	}
	data, err := json.Marshal(part)
	if err != nil {
		return err
	}
	return printJSON(c, data)
}

func catalogPart(current catalog.Catalog, name string) (any, bool) {
	switch name {
	case "":
		return current, true
	case "services":
		return current.Services, true
	case "models":
		return current.Models, true
	case "adapters":
		return current.Adapters, true
	case "endpoints":
		return current.Endpoints, true
	case "presets":
		return current.Presets, true
	case "preset":
		return current.Preset, true
	case "version":
		return current.Version, true
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
			version, err := versionArgument(c)
			if err != nil {
				return err
			}
			api, err := newClient(c)
			if err != nil {
				return err
			}
			if err := waitInForce(ctx, api, version); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "version %d is in force\n", version)
			return err
		},
	}
}

// waitInForce polls until the version is in force or the client's timeout has expired.
func waitInForce(ctx context.Context, api client, version uint64) error {
	end := time.Now().Add(api.timeout)
	for {
		longPoll := max(0, min(longPollTimeout, time.Until(end)))
		state, err := queryInForce(ctx, api, version, longPoll)
		if err != nil || state.InForce {
			return err
		}
		if !time.Now().Before(end) {
			return ErrNotInForce{Version: version, Waiting: state.Waiting}
		}
		if err := sleep(ctx, min(minPollInterval, time.Until(end))); err != nil {
			return err
		}
	}
}

// minPollInterval limits the request rate if the control member doesn't delay its responses.
const minPollInterval = 100 * time.Millisecond

func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func queryInForce(ctx context.Context, api client, version uint64, longPoll time.Duration) (operatorapi.InForce, error) {
	query := url.Values{}
	query.Set(operatorapi.QueryVersion, strconv.FormatUint(version, 10))
	query.Set(operatorapi.QueryTimeoutMS, strconv.FormatInt(longPoll.Milliseconds(), 10))
	var state operatorapi.InForce
	got, err := api.do(ctx, apiRequest{method: http.MethodGet, path: operatorapi.PathWait + "?" + query.Encode(), longPoll: longPoll})
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(got.body, &state); err != nil {
		return state, ErrResponseInvalid{Path: operatorapi.PathWait, Cause: err}
	}
	return state, nil
}

// ErrResponseInvalid is returned if a response doesn't match the operator API.
type ErrResponseInvalid struct {
	Path  string
	Cause error
}

// Error returns the path and the cause.
func (err ErrResponseInvalid) Error() string {
	return fmt.Sprintf("the response of %s cannot be decoded: %v", err.Path, err.Cause)
}

// Unwrap returns the underlying error.
func (err ErrResponseInvalid) Unwrap() error {
	return err.Cause
}

// IsErrResponseInvalid reports whether err wraps an ErrResponseInvalid.
func IsErrResponseInvalid(err error) bool {
	var invalid ErrResponseInvalid
	return errors.As(err, &invalid)
}
