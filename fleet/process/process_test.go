package process_test

import (
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/logs"
	"hibiscuslb/fleet/process"
)

// exitVariable names the exit that the test binary takes instead of running its
// tests.
const exitVariable = "HIBISCUS_TEST_EXIT"

// badSettings is an error that reports invalid settings.
type badSettings struct{}

func (badSettings) Error() string { return "settings: Host is empty" }

// exits are the ways in which a program ends, by name. Each runs in a process of its
// own.
var exits = map[string]func(log zerolog.Logger, out *logs.Output){
	"run ended":               func(log zerolog.Logger, out *logs.Output) { process.Exit(log, out, nil) },
	"run ended with an error": func(log zerolog.Logger, out *logs.Output) { process.Exit(log, out, io.ErrUnexpectedEOF) },
	"start failed": func(zerolog.Logger, *logs.Output) {
		process.ExitStartFailure[badSettings](errors.New("port 7000 is in use"))
	},
	"settings are invalid": func(zerolog.Logger, *logs.Output) { process.ExitStartFailure[badSettings](badSettings{}) },
}

func TestMain(m *testing.M) {
	if exit := exits[os.Getenv(exitVariable)]; exit != nil {
		out := logs.NewOutput(os.Stdout)
		log := zerolog.New(out)
		log.Info().Msg("stopping")
		exit(log, out)
		return
	}
	os.Exit(m.Run())
}

var exitTests = []struct {
	name   string
	status int
	line   string // on standard error, if it is read
}{
	{"run ended", 0, ""},
	{"run ended with an error", process.ExitFailed, ""},
	{"start failed", process.ExitFailed, "port 7000 is in use\n"},
	{"settings are invalid", process.ExitBadSettings, "settings: Host is empty\n"},
}

// TestProcessEndsWithFullPipe guards against a process that does not end because
// its last line does not fit into the pipe that is both standard output and standard
// error and is not read.
func TestProcessEndsWithFullPipe(t *testing.T) {
	for _, test := range exitTests {
		t.Run(test.name, func(t *testing.T) {
			unread, full, err := os.Pipe()
			require.NoError(t, err)
			defer unread.Close()
			defer full.Close()
			fillPipe(t, full)
			status, took := runExit(t, test.name, full, full)
			require.Equal(t, test.status, status, "exit status after %v", took)
		})
	}
}

// TestProcessWritesItsLastLine checks that the last line of a process arrives at a
// reader of standard error, and that nothing is reported as lost.
func TestProcessWritesItsLastLine(t *testing.T) {
	for _, test := range exitTests {
		t.Run(test.name, func(t *testing.T) {
			read, write, err := os.Pipe()
			require.NoError(t, err)
			defer read.Close()
			status, _ := runExit(t, test.name, nil, write)
			require.NoError(t, write.Close())
			lines, err := io.ReadAll(read)
			require.NoError(t, err)
			require.Equal(t, test.line, string(lines))
			require.Equal(t, test.status, status)
		})
	}
}

// runExit runs the exit called name in a process and returns its status, or -1 if it
// did not end by itself.
func runExit(t *testing.T, name string, stdout, stderr *os.File) (status int, took time.Duration) {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	const grace = 5 * time.Second // the shortest grace period of a host
	ctx, cancel := context.WithTimeout(t.Context(), grace)
	defer cancel()
	command := exec.CommandContext(ctx, self)
	command.Env = append(os.Environ(), exitVariable+"="+name)
	command.Stderr = stderr
	if stdout != nil {
		command.Stdout = stdout
	}
	began := time.Now()
	err = command.Run()
	var exit *exec.ExitError
	if err != nil {
		require.ErrorAs(t, err, &exit)
	}
	return command.ProcessState.ExitCode(), time.Since(began)
}

// fillPipe writes to pipe until it has no room for a single byte.
func fillPipe(t *testing.T, pipe *os.File) {
	t.Helper()
	for _, size := range []int{64 << 10, 1} {
		chunk := make([]byte, size)
		for {
			require.NoError(t, pipe.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
			if _, err := pipe.Write(chunk); err != nil {
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				break
			}
		}
	}
}
