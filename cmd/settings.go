package cmd

import (
	"context"
	"fmt"

	"burdocksaddle/setting"

	"github.com/urfave/cli/v3"
)

func settingsCommand() *cli.Command {
	return group(&cli.Command{
		Name:  "settings",
		Usage: "validate or print a process's settings",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "validate a settings file and report every problem",
				ArgsUsage: "FILE",
				Action:    checkSettings,
			},
			{
				Name:      "print",
				Usage:     "print the effective settings, including defaults",
				ArgsUsage: "FILE",
				Action:    printSettings,
			},
		},
	})
}

func checkSettings(_ context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: valid, node %s in %s with roles %v\n", c.Args().First(), s.Node, s.DataCentre, s.Roles)
	return err
}

func printSettings(_ context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	return s.Print(c.Root().Writer)
}

func loadSettings(c *cli.Command) (setting.Settings, error) {
	path, err := singleArgument(c, "FILE")
	if err != nil {
		return setting.Settings{}, err
	}
	return setting.Load(path)
}
