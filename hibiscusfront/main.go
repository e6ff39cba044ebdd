// Hibiscusfront is the process of a front host on the prepared platform. It
// tells callers which hosts to use, serves their requests and takes part in
// planning them.
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

	"hibiscuslb/hibiscusfront/internal/host"
	"hibiscuslb/platform"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	file, check, level := os.Getenv(platform.SettingsVariable), false, zerolog.LevelInfoValue
	flaggy.SetName("hibiscusfront")
	flaggy.SetDescription("the process of a front host")
	flaggy.String(&file, "s", "settings", "settings file of the platform")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.String(&level, "l", "log", "least level of log lines: debug, info, warn, error")
	flaggy.Parse()
	settings, err := platform.ReadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var bad *platform.SettingsError
		if errors.As(err, &bad) {
			os.Exit(exitBadSettings)
		}
		os.Exit(exitFailed)
	}
	if check {
		fmt.Println("settings are good")
		return
	}
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	log := zerolog.New(os.Stdout).Level(least).With().Timestamp().Str("Host", string(settings.Host)).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := host.New(settings, log).Run(ctx); err != nil {
		log.Error().Str("Cause", eris.ToString(err, false)).Msg("failed")
		os.Exit(exitFailed)
	}
}
