package cmd

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"burdocksaddle/jsonc"
	"burdocksaddle/operatorapi"

	"github.com/urfave/cli/v3"
)

const (
	defaultAddress = "http://127.0.0.1:7400"
	defaultTimeout = 15 * time.Second

	flagAddress     = "address"
	flagTokenFile   = "token-file"
	flagTimeout     = "timeout"
	flagBase        = "base"
	flagOperationID = "operation-id"
	flagFile        = "file"
	flagWhole       = "whole"
)

func ctlCommand() *cli.Command {
	return group(&cli.Command{
		Name:  "ctl",
		Usage: "operate a running deployment through a control member",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAddress, Value: defaultAddress, Usage: "`URL` of the operator API",
				Sources: cli.EnvVars("BURDOCKSADDLE_OPERATOR")},
			&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` that holds the operator's token"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "how long to retry or to wait, such as 30s"},
		},
		Commands: []*cli.Command{
			applyCommand(), presetCommand(), rollbackCommand(), waitCommand(),
			getCommand(), diffCommand(),
			readCommand("members", "print the control members", operatorapi.PathMembers),
			readCommand("history", "print the accepted changes", operatorapi.PathHistory),
			readCommand("dump", "print the state of the process behind the address", operatorapi.PathState),
		},
	})
}

// readCommand returns a command that prints the response to a GET request for path.
func readCommand(name, usage, path string) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			return printPath(ctx, c, path)
		},
	}
}

func printPath(ctx context.Context, c *cli.Command, path string) error {
	got, err := get(ctx, c, path)
	if err != nil {
		return err
	}
	return printJSON(c, got.body)
}

func get(ctx context.Context, c *cli.Command, path string) (apiResponse, error) {
	api, err := newClient(c)
	if err != nil {
		return apiResponse{}, err
	}
	return api.do(ctx, apiRequest{method: http.MethodGet, path: path})
}

// printJSON prints JSON with indentation and anything else unchanged.
func printJSON(c *cli.Command, data []byte) error {
	var out bytes.Buffer
	if json.Indent(&out, data, "", "  ") != nil {
		out.Reset()
		out.Write(data)
	}
	_, err := c.Root().Writer.Write(append(bytes.TrimSpace(out.Bytes()), '\n'))
	return err
}

func newClient(c *cli.Command) (client, error) {
	api := client{address: c.String(flagAddress), timeout: c.Duration(flagTimeout)}
	path := c.String(flagTokenFile)
	if path == "" {
		return api, nil
	}
	token, err := jsonc.ReadFile(path)
	if err != nil {
		return api, err
	}
	api.token = strings.TrimSpace(string(token))
	return api, nil
}

func operationID(c *cli.Command) string {
	if id := c.String(flagOperationID); id != "" {
		return id
	}
	return rand.Text()
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` that the change is based on; defaults to the current one"},
		&cli.StringFlag{Name: flagOperationID, Usage: "`ID` of the change; a resend with the same ID gets the original result"},
	}
}
