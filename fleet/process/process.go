// Package process implements the exit paths shared by the programs of hosts: after
// a failed start and after a run.
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

// ExitStartFailure prints the error and exits a process that cannot start. The exit
// status is ExitBadSettings if the error is or wraps an E, which is the type of
// errors that report invalid settings, and ExitFailed otherwise.
func ExitStartFailure[E error](err error) {
	fmt.Fprintln(os.Stderr, err)
	var settingsErr E
	if errors.As(err, &settingsErr) {
		os.Exit(ExitBadSettings)
	}
	os.Exit(ExitFailed)
}

// Exit logs the error with which the process ends, if it is not nil, and writes the
// buffered log lines. If there is an error it exits with ExitFailed, otherwise it
// returns.
func Exit(log zerolog.Logger, out *logs.Output, err error) {
	if err != nil {
		log.Error().Str("Cause", eris.ToString(err, false)).Msg("process ended with an error")
	}
	if closeErr := out.Close(); closeErr != nil {
		// Standard error may be the same blocked pipe. The longer the line, the
		// likelier is it that its write blocks and that the process does not
		// end. The room left in a full pipe is less than one log line: a line
		// of 69 bytes has been seen to get into such a pipe, one of 127 bytes
		// has not. With ErrFlushTimeout it must stay shorter than 69 bytes.
		fmt.Fprintln(os.Stderr, "the last log lines may be lost:", closeErr)
	}
	if err != nil {
		os.Exit(ExitFailed)
	}
}
