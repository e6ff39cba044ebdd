package meter_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/meter"
)

func ExampleCounter_WriteText() {
	c := meter.Counter{Name: "RequestsEnded", Labels: []string{"Status", "Route"}}
	c.Add(2, "200", "chat")
	c.Add(1, "503", "chat")
	c.WriteText(os.Stdout)
	fmt.Println(c.String())
	// Output:
	// RequestsEnded{Status="200",Route="chat"} 2
	// RequestsEnded{Status="503",Route="chat"} 1
	// {"200/chat":2,"503/chat":1}
}

func TestCounterLimit(t *testing.T) {
	c := meter.Counter{Name: "RequestsEnded", Labels: []string{"Status", "Route"}}
	const routes = 10 * meter.CounterLimit
	for i := range routes {
		c.Add(1, "200", fmt.Sprint("route-", i))
	}
	c.Add(1, "200", "route-0")
	require.Equal(t, int64(2), c.Count("200", "route-0"), "existing counts must still grow")
	var text strings.Builder
	c.WriteText(&text)
	require.Equal(t, meter.CounterLimit+1, strings.Count(text.String(), "\n"))
	require.Contains(t, text.String(), fmt.Sprintf(`{Status="Other/",Route="Other/"} %d`, routes-meter.CounterLimit))
}

func TestHistogramsAreWrittenInSeconds(t *testing.T) {
	var h meter.Histograms
	h.Record(meter.Series{Workspace: "kypseli", Class: "chat"}, 250*time.Millisecond)
	var text strings.Builder
	h.WriteText(&text, "FirstPiece")
	require.Contains(t, text.String(), `FirstPieceCount{Series="kypseli/chat"} 1`)
	require.Contains(t, text.String(), `FirstPieceSeconds{Series="kypseli/chat",Quantile="0.99"} 0.25`)
}
