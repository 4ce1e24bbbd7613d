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
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "how long to try or to wait, such as 30s"},
		},
		Commands: []*cli.Command{
			applyCommand(), presetCommand(), rollbackCommand(), waitCommand(),
			getCommand(), diffCommand(),
			reading("members", "print the control members", operatorapi.PathMembers),
			reading("history", "print the accepted changes", operatorapi.PathHistory),
			reading("dump", "print the state of the process behind the address", operatorapi.PathState),
		},
	})
}

// reading is a command that prints what one path holds.
func reading(name, usage, path string) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := none(c); err != nil {
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

func get(ctx context.Context, c *cli.Command, path string) (answer, error) {
	to, err := clientOf(c)
	if err != nil {
		return answer{}, err
	}
	return to.do(ctx, call{method: http.MethodGet, path: path})
}

// printJSON indents JSON; anything else is printed as it is.
func printJSON(c *cli.Command, data []byte) error {
	var out bytes.Buffer
	if json.Indent(&out, data, "", "  ") != nil {
		out.Reset()
		out.Write(data)
	}
	_, err := c.Root().Writer.Write(append(bytes.TrimSpace(out.Bytes()), '\n'))
	return err
}

func clientOf(c *cli.Command) (client, error) {
	to := client{address: c.String(flagAddress), timeout: c.Duration(flagTimeout)}
	path := c.String(flagTokenFile)
	if path == "" {
		return to, nil
	}
	token, err := jsonc.ReadFile(path)
	if err != nil {
		return to, err
	}
	to.token = strings.TrimSpace(string(token))
	return to, nil
}

func operationID(c *cli.Command) string {
	if id := c.String(flagOperationID); id != "" {
		return id
	}
	return rand.Text()
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` that the change is based on; the current one when left out"},
		&cli.StringFlag{Name: flagOperationID, Usage: "`ID` of the change; a resend under the same id gets the first answer"},
	}
}
