// Package cmd is the command line: one file for each subcommand.
package cmd
