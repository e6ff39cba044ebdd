// Hibiscusd runs a host of a fleet. It serves callers, dispatches requests to the
// targets whose duties it holds, and takes part in the control of the fleet:
// membership, leases, the declaration and the assignment of duties.
//
// Its targets implement the protocols of packages engine and service. Hibiscusfront is
// a separate program, for targets that the platform provides.
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
	"hibiscuslb/fleet/settings"
	"hibiscuslb/hibiscusd/internal/node"
)

func main() {
	file, check := "hibiscusd.ini", false
	flaggy.SetName("hibiscusd")
	flaggy.SetDescription("runs a host of a hibiscuslb fleet")
	flaggy.String(&file, "s", "settings", "settings file")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.Parse()
	loaded, err := node.ReadSettings(file)
	if err != nil {
		process.ExitStartFailure[*settings.Error](err)
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
	process.Exit(log, out, err)
}
