package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"

	"burdocksaddle/catalog"

	"github.com/urfave/cli/v3"
)

func catalogCommand() *cli.Command {
	return group(&cli.Command{
		Name:  "catalog",
		Usage: "check a catalog",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a catalog file and name each fault",
			ArgsUsage: "FILE",
			Action:    checkCatalog,
		}},
	})
}

func checkCatalog(_ context.Context, c *cli.Command) error {
	path, err := only(c, "FILE")
	if err != nil {
		return err
	}
	data, err := readFile(path)
	if err != nil {
		return err
	}
	read, err := catalog.Parse(path, data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: good, %d services, %d models, %d adapters, preset %s in force\n",
		path, len(read.Services), len(read.Models), len(read.Adapters), read.Preset)
	return err
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrFileUnreadable{File: path, Cause: errors.Unwrap(err)}
	}
	return data, nil
}

// ErrFileUnreadable says that a file named on the command line could not be read.
type ErrFileUnreadable struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (err ErrFileUnreadable) Error() string {
	return fmt.Sprintf("%s: cannot be read: %v", err.File, err.Cause)
}

// Unwrap returns the cause.
func (err ErrFileUnreadable) Unwrap() error {
	return err.Cause
}

// IsErrFileUnreadable reports whether err holds an ErrFileUnreadable.
func IsErrFileUnreadable(err error) bool {
	var unreadable ErrFileUnreadable
	return errors.As(err, &unreadable)
}
