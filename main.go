// Command sapphirespread is an overload control layer for service call graphs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sapphirespread.example/internal/cmd"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cmd.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
