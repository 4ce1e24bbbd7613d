package cmd

import (
	"context"
	"fmt"

	"burdocksaddle/catalog"
	"burdocksaddle/jsonc"

	"github.com/urfave/cli/v3"
)

func catalogCommand() *cli.Command {
	return group(&cli.Command{
		Name:  "catalog",
		Usage: "validate a catalog",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "validate a catalog file and report every problem",
			ArgsUsage: "FILE",
			Action:    checkCatalog,
		}},
	})
}

func checkCatalog(_ context.Context, c *cli.Command) error {
	path, err := singleArgument(c, "FILE")
	if err != nil {
		return err
	}
	data, err := jsonc.ReadFile(path)
	if err != nil {
		return err
	}
	read, err := catalog.Parse(path, data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: valid, %d services, %d models, %d adapters, preset %s in force\n",
		path, len(read.Services), len(read.Models), len(read.Adapters), read.Preset)
	return err
}
