// Command burdocksaddle serves rarely used language models.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"burdocksaddle/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.Main(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
