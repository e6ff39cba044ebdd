// Hibiscusfront is the process of a front host on the prepared platform. It
// tells callers which hosts to use, serves their requests and takes part in
// planning them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet/logs"
	"hibiscuslb/fleet/process"
	"hibiscuslb/hibiscusfront/internal/host"
	"hibiscuslb/platform"
)

func main() {
	file, check, level, metrics := os.Getenv(platform.SettingsVariable), false, zerolog.LevelInfoValue, 0
	flaggy.SetName("hibiscusfront")
	flaggy.SetDescription("the process of a front host")
	flaggy.String(&file, "s", "settings", "settings file of the platform")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.String(&level, "l", "log", "least level of log lines: debug, info, warn, error")
	flaggy.Int(&metrics, "m", "metrics", "port of the metrics, 0 for a free one")
	flaggy.Parse()
	settings, err := platform.ReadSettings(file)
	if err != nil {
		process.Refuse[*platform.SettingsError](err)
	}
	if check {
		fmt.Println("settings are good")
		return
	}
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.BadSettings)
	}
	out := logs.NewOutput(os.Stdout)
	log := zerolog.New(out).Level(least).With().Timestamp().Str("Host", string(settings.Host)).Logger()
	h := host.New(settings, log)
	h.MetricsPort, h.DroppedLines = metrics, out.Dropped
	err = run(h, file)
	process.End(log, out, err)
}

// run serves until the process is asked to end. SIGHUP reads the settings again.
func run(h *host.Host, file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	h.Reload(file, reload)
	return h.Run(ctx)
}
