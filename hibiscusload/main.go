// Hibiscusload sends load through a fleet and measures what comes of it.
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
