// Package process holds what the programs of hosts share at their start and end.
package process

import (
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet/logs"
)

// Exit statuses.
const (
	ExitFailed      = 1
	ExitBadSettings = 2
)

// ExitStartFailure ends a process that can not start. An E is an error that names a wrong
// setting.
func ExitStartFailure[E error](err error) {
	fmt.Fprintln(os.Stderr, err)
	var bad E
	if errors.As(err, &bad) {
		os.Exit(ExitBadSettings)
	}
	os.Exit(ExitFailed)
}

// Exit ends a process after it has run: it logs the error, if there is one, and
// writes the last log lines.
func Exit(log zerolog.Logger, out *logs.Output, err error) {
	if err != nil {
		log.Error().Str("Cause", eris.ToString(err, false)).Msg("failed")
	}
	if closing := out.Close(); closing != nil {
		fmt.Fprintln(os.Stderr, "the last log lines may be missing:", closing)
	}
	if err != nil {
		os.Exit(ExitFailed)
	}
}
