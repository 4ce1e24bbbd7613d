// Package cmd implements the command line, with one file per subcommand.
package cmd
