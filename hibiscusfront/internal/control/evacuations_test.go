package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
)

// Load pattern: the store comes back from a copy that was made before a data centre was
// evacuated, and while another one still was.
func TestEvacuationThatCopyOfStoreLacksIsObeyed(t *testing.T) {
	set := func(ids ...fleet.DataCentreID) map[fleet.DataCentreID]bool {
		result := make(map[fleet.DataCentreID]bool)
		for _, id := range ids {
			result[id] = true
		}
		return result
	}
	for _, test := range []struct {
		name  string
		again []fleet.DataCentreID // listed in the new era after a second
		later []fleet.DataCentreID // and after two
		want  []fleet.DataCentreID
		end   []fleet.DataCentreID // in force once evacuationGrace is over
	}{
		{"written again", []fleet.DataCentreID{"a"}, []fleet.DataCentreID{"a"}, []fleet.DataCentreID{"a"}, []fleet.DataCentreID{"a"}},
		{"written again and taken back", []fleet.DataCentreID{"a"}, nil, nil, nil},
		{"never written again", nil, nil, []fleet.DataCentreID{"a"}, nil},
		{"not known to be taken back", []fleet.DataCentreID{"b"}, []fleet.DataCentreID{"b"}, []fleet.DataCentreID{"a", "b"}, []fleet.DataCentreID{"b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var e evacuations
			e.apply(at(0), 1, set("b"))
			e.apply(at(time.Second), 1, set("a"))
			require.Equal(t, set("a"), e.list(), "one that ends in the same era ends at once")
			e.apply(at(2*time.Second), 2, set())
			require.Equal(t, set("a"), e.list())
			e.apply(at(3*time.Second), 2, set(test.again...))
			e.apply(at(4*time.Second), 2, set(test.later...))
			require.Equal(t, set(test.want...), e.list())
			e.expire(at(2*time.Second + evacuationGrace))
			require.Equal(t, set(test.end...), e.list())
		})
	}
}
