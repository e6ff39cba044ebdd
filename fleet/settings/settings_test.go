package settings_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/settings"
)

func TestCheckReportsEachProblemOnOneLine(t *testing.T) {
	reader, err := settings.Parse("node.ini", []byte(`
[Listen]
Callers = localhost:80
Colour = red
[Limits]
Time = 5
Queue = 2000
[Forest]
`))
	require.NoError(t, err)
	reader.Address("Listen", "Callers")
	reader.Address("Listen", "Hosts")
	reader.Duration("Limits", "Time", time.Second, 0, time.Minute)
	reader.Count("Limits", "Queue", 10, 0, 1000)
	err = reader.Check()
	var settingsErr *settings.Error
	require.ErrorAs(t, err, &settingsErr)
	lines := make([]string, len(settingsErr.Problems))
	for i, problem := range settingsErr.Problems {
		lines[i] = problem.String()
	}
	require.Equal(t, []string{
		`node.ini: [Listen] Callers: want an IP address and port such as 10.0.0.1:7000, have "localhost:80"`,
		`node.ini: [Listen] Hosts: required key is missing`,
		`node.ini: [Limits] Time: want a duration with its unit such as 1500ms, have "5"`,
		`node.ini: [Limits] Queue: want a number from 0 to 1000, have 2000`,
		`node.ini: [Listen] Colour: unknown key`,
		`node.ini: [Forest] : unknown section`,
	}, lines)
}
