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
		Usage: "check or print a process's settings",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "check a settings file and name each fault",
				ArgsUsage: "FILE",
				Action:    checkSettings,
			},
			{
				Name:      "print",
				Usage:     "print the settings in effect, defaults included",
				ArgsUsage: "FILE",
				Action:    printSettings,
			},
		},
	})
}

func checkSettings(_ context.Context, c *cli.Command) error {
	s, err := settingsOf(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: good, node %s in %s with roles %v\n", c.Args().First(), s.Node, s.DataCentre, s.Roles)
	return err
}

func printSettings(_ context.Context, c *cli.Command) error {
	s, err := settingsOf(c)
	if err != nil {
		return err
	}
	return s.Print(c.Root().Writer)
}

func settingsOf(c *cli.Command) (setting.Settings, error) {
	path, err := only(c, "FILE")
	if err != nil {
		return setting.Settings{}, err
	}
	return setting.Load(path)
}
