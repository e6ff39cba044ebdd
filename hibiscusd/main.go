// Hibiscusd is the process of an entry host. It serves callers, keeps targets
// and takes part in the fleet's control.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet/logs"
	"hibiscuslb/fleet/settings"
	"hibiscuslb/hibiscusd/internal/node"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	file, check := "hibiscusd.ini", false
	flaggy.SetName("hibiscusd")
	flaggy.SetDescription("the process of an entry host")
	flaggy.String(&file, "s", "settings", "settings file")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.Parse()
	loaded, err := node.ReadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var bad *settings.Error
		if errors.As(err, &bad) {
			os.Exit(exitBadSettings)
		}
		os.Exit(exitFailed)
	}
	if check {
		fmt.Println("settings are good")
		return
	}
	out := logs.NewOutput(os.Stdout)
	log := zerolog.New(out).Level(loaded.LogLevel).With().Timestamp().Str("Host", string(loaded.Host.ID)).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = node.New(loaded, log).Run(ctx)
	if err != nil {
		log.Error().Str("Cause", eris.ToString(err, false)).Msg("failed")
	}
	if closing := out.Close(); closing != nil {
		fmt.Fprintln(os.Stderr, "the last log lines may be missing:", closing)
	}
	if err != nil {
		os.Exit(exitFailed)
	}
}
