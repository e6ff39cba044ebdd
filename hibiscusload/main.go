// Hibiscusload generates load on a fleet, runs experiments and measures the results.
// Its commands are described in package command.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hibiscuslb/hibiscusload/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscusload:", err)
		os.Exit(1)
	}
}
