// Standin runs one stand-in for an external system, for tests and experiments:
// the platform's object store, a model engine, a store host, a plain service,
// the weight store, or a network link.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hibiscuslb/standin/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
