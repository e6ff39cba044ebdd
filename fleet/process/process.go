// Package process implements the exit paths shared by the programs of hosts: after
// a failed start and after a run.
package process

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet/logs"
)

// Exit statuses.
const (
	ExitFailed      = 1
	ExitBadSettings = 2
)

// reportTimeout bounds the writing of the last line to standard error. It must fit
// into what is left of the process's grace period after the log lines are flushed.
const reportTimeout = 100 * time.Millisecond

// ExitStartFailure prints the error and exits a process that cannot start. The exit
// status is ExitBadSettings if the error is or wraps an E, which is the type of
// errors that report invalid settings, and ExitFailed otherwise.
func ExitStartFailure[E error](err error) {
	report(err)
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
		report("the last log lines may be lost:", closeErr)
	}
	if err != nil {
		os.Exit(ExitFailed)
	}
}

// report writes a line to standard error. It waits for the write at most
// reportTimeout, because standard error may be the same full pipe as standard output,
// and the process must end even if nothing reads that pipe.
func report(values ...any) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = fmt.Fprintln(os.Stderr, values...) // a failed write cannot be reported anywhere else
	}()
	select {
	case <-written:
	case <-time.After(reportTimeout):
	}
}
