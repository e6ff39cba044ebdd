// Hibiscusctl is the command line tool for operators of a fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hibiscuslb/hibiscusctl/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
