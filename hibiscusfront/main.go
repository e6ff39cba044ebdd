// Hibiscusfront runs a front host of the load balancer on the platform
// that package platform adapts it to. A front host serves a directory of host
// addresses to callers, relays their requests to targets, and takes part in
// selecting the target of each request.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/logs"
	"hibiscuslb/fleet/process"
	"hibiscuslb/hibiscusfront/internal/host"
	"hibiscuslb/hibiscusfront/internal/ingress"
	"hibiscuslb/platform"
)

const (
	megabyte = 1 << 20
	// runtimeShare of the memory of the host, in parts of runtimeShareDivisor, is the goal of the
	// garbage collector. The rest is for the program itself and the buffers of sockets.
	runtimeShare        = 3
	runtimeShareDivisor = 4
)

func main() {
	file, check, level, metrics := os.Getenv(platform.SettingsVariable), false, zerolog.LevelInfoValue, 0
	callerConnections, callerMemory := 0, 0
	flaggy.SetName("hibiscusfront")
	flaggy.SetDescription("front host of the load balancer")
	flaggy.String(&file, "s", "settings", "settings file of the platform")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.String(&level, "l", "log", "lowest level of log lines to write: debug, info, warn, error")
	flaggy.Int(&metrics, "m", "metrics", "port for metrics, 0 for any free port")
	flaggy.Int(&callerConnections, "", "caller-connections", "open connections of callers at once, 0 for the default")
	flaggy.Int(&callerMemory, "", "caller-memory", "megabytes for long heads and bodies of callers' requests, 0 for the default")
	flaggy.Parse()
	settings, err := platform.ReadSettings(file)
	if err != nil {
		process.ExitStartFailure[*platform.SettingsError](err)
	}
	limits, err := ingress.DefaultLimits(settings.Memory, settings.Descriptors).Override(callerConnections, fleet.Bytes(callerMemory)*megabyte)
	if err != nil {
		process.ExitStartFailure[*ingress.LimitError](err)
	}
	if check {
		fmt.Println("settings are good")
		return
	}
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		fmt.Fprintf(os.Stderr, "flag --log: invalid level %q, want debug, info, warn or error\n", level)
		os.Exit(process.ExitBadSettings)
	}
	out := logs.NewOutput(os.Stdout)
	log := zerolog.New(out).Level(minLevel).With().Timestamp().Str("Host", string(settings.Host)).Logger()
	h := host.New(settings, log)
	h.MetricsPort, h.DroppedLines = metrics, out.Dropped
	h.SetLimits(limits)
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(settings.Memory) / runtimeShareDivisor * runtimeShare)
	}
	err = run(h, file)
	process.Exit(log, out, err)
}

// run serves until SIGTERM or SIGINT. On SIGHUP it reads the settings again.
func run(h *host.Host, file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	h.WatchSettings(file, reload)
	return h.Run(ctx)
}
