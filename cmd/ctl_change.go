package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"burdocksaddle/catalog"
	"burdocksaddle/jsonc"
	"burdocksaddle/operatorapi"

	"github.com/urfave/cli/v3"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "apply a change from a file",
		Flags: append(changeFlags(),
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "`FILE` with the change: Set, Put, Delete or Preset"},
			&cli.BoolFlag{Name: flagWhole, Usage: "the file is a whole catalog, which replaces the current one"},
		),
		Action: apply,
	}
}

func presetCommand() *cli.Command {
	return &cli.Command{
		Name:      "preset",
		Usage:     "switch to another preset",
		ArgsUsage: "NAME",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := singleArgument(c, "NAME")
			if err != nil {
				return err
			}
			return change(ctx, c, operatorapi.PathPreset, operatorapi.PresetChange{Preset: name})
		},
	}
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "restore the values of an earlier version as a new version",
		ArgsUsage: "VERSION",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			version, err := versionArgument(c)
			if err != nil {
				return err
			}
			return change(ctx, c, operatorapi.PathRollback, operatorapi.Rollback{Version: version})
		},
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}
	path := c.String(flagFile)
	if path == "" {
		return ErrUsage{Command: c.FullName(), Reason: "needs -f FILE"}
	}
	data, err := jsonc.ReadFile(path)
	if err != nil {
		return err
	}
	requested, err := parseChangeFile(path, data, c.Bool(flagWhole))
	if err != nil {
		return err
	}
	return change(ctx, c, operatorapi.PathChanges, requested)
}

func parseChangeFile(path string, data []byte, whole bool) (catalog.Change, error) {
	if !whole {
		return catalog.ParseChange(path, data)
	}
	set, err := catalog.Parse(path, data)
	return catalog.Change{Set: &set}, err
}

// change posts a change based on a version and prints the resulting version.
func change(ctx context.Context, c *cli.Command, path string, body any) error {
	api, err := newClient(c)
	if err != nil {
		return err
	}
	base := c.Uint64(flagBase)
	if !c.IsSet(flagBase) {
		current, err := api.do(ctx, apiRequest{method: http.MethodGet, path: operatorapi.PathCatalog})
		if err != nil {
			return err
		}
		base = current.version
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	got, err := api.do(ctx, apiRequest{method: http.MethodPost, path: path, body: data, operationID: operationID(c), base: base})
	if err != nil {
		return err
	}
	var accepted operatorapi.Accepted
	if err := json.Unmarshal(got.body, &accepted); err != nil {
		return ErrResponseInvalid{Path: path, Cause: err}
	}
	_, err = fmt.Fprintf(c.Root().Writer, "accepted as version %d\n", accepted.Version)
	return err
}

func versionArgument(c *cli.Command) (uint64, error) {
	text, err := singleArgument(c, "VERSION")
	if err != nil {
		return 0, err
	}
	return parseVersion(c, text)
}

func parseVersion(c *cli.Command, text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, ErrUsage{Command: c.FullName(), Reason: fmt.Sprintf("takes a whole number as VERSION, not %q", text)}
	}
	return version, nil
}
