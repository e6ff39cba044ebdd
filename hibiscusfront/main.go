// Hibiscusfront is the process of a front host on the prepared platform. It
// tells callers which hosts to use, serves their requests and takes part in
// planning them.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"hibiscuslb/hibiscusfront/internal/host"
	"hibiscuslb/platform"
)

// logLines is how many log lines wait for a slow reader.
const logLines = 2048

// lastLinesTime bounds the writing of the last log lines. It is part of what a
// host leaves of its grace time.
const lastLinesTime = 200 * time.Millisecond

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
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
	// A reader of standard output that stands still must not hold requests up:
	// lines beyond the buffer are dropped and counted.
	var dropped atomic.Int64
	out := diode.NewWriter(os.Stdout, logLines, 0, func(missed int) { dropped.Add(int64(missed)) })
	log := zerolog.New(out).Level(least).With().Timestamp().Str("Host", string(settings.Host)).Logger()
	h := host.New(settings, log)
	h.MetricsPort, h.DroppedLines = metrics, dropped.Load
	err = run(h, file)
	if err != nil {
		log.Error().Str("Cause", eris.ToString(err, false)).Msg("failed")
	}
	if closing := closeLog(out); closing != nil {
		fmt.Fprintln(os.Stderr, "the last log lines may be missing:", closing)
	}
	if err != nil {
		os.Exit(exitFailed)
	}
}

var errUnread = errors.New("nobody reads standard output")

// closeLog writes the lines that wait. It gives up on a reader that stands
// still: the process has to end in its grace time.
func closeLog(out io.Closer) error {
	closed := make(chan error, 1)
	go func() { closed <- out.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(lastLinesTime):
		return errUnread
	}
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
