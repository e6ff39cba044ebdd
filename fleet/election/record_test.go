package election_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/quarantine"
)

// laterRecord is the record of a later build, which has fields that this one does not know.
type laterRecord struct {
	Holder   fleet.HostID
	Epoch    fleet.Epoch
	Renewal  uint64
	Withheld []string `json:",omitempty"`
	Paused   map[string]int
}

// A holder that does not know all fields of the record lost them for all successors with its first
// write, and hosts that learned the record from it by a heartbeat did so too.
func TestRecordKeepsFieldsOfLaterBuilds(t *testing.T) {
	later := laterRecord{Holder: "a", Epoch: 7, Renewal: 3, Withheld: []string{"x"}, Paused: map[string]int{"y": 1}}
	stored, err := json.Marshal(later)
	require.NoError(t, err)
	var read, heard election.Record
	require.NoError(t, json.Unmarshal(stored, &read))
	message, err := cbor.Marshal(read)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(message, &heard))
	require.Equal(t, read, heard)

	for name, record := range map[string]election.Record{"read from the store": read, "heard from a host": heard} {
		t.Run(name, func(t *testing.T) {
			duty := election.Duty{Self: "b"}
			duty.Observe(0, revision(5), record)
			takeover, due := duty.NextWrite(at(election.LeaseDuration+election.ClockMargin), false)
			require.True(t, due)
			requireKept(t, later, takeover.Record)
			duty.WriteSucceeded(at(election.LeaseDuration+election.ClockMargin), takeover, revision(6), bound)
			resign, ok := duty.ResignWrite(at(election.LeaseDuration + election.ClockMargin))
			require.True(t, ok)
			requireKept(t, later, resign.Record)
		})
	}
}

func requireKept(t *testing.T, want laterRecord, written election.Record) {
	t.Helper()
	data, err := json.Marshal(written)
	require.NoError(t, err)
	var got laterRecord
	require.NoError(t, json.Unmarshal(data, &got))
	require.Equal(t, want.Withheld, got.Withheld)
	require.Equal(t, want.Paused, got.Paused)
	require.Equal(t, written.Holder, got.Holder)
	require.Equal(t, written.Epoch, got.Epoch)
}

// Hosts of earlier builds read the fields that they know, in the store and in messages.
func TestRecordIsReadByEarlierBuilds(t *testing.T) {
	type earlierRecord struct {
		Holder   fleet.HostID
		Epoch    fleet.Epoch
		Ordering bool
	}
	record := election.Record{Holder: "a", Epoch: 7, Ordering: true, Quarantine: quarantine.List{{Part: "p", Crashes: 5}}}
	for name, codec := range map[string]struct {
		encode func(any) ([]byte, error)
		decode func([]byte, any) error
	}{"JSON": {json.Marshal, json.Unmarshal}, "CBOR": {cbor.Marshal, cbor.Unmarshal}} {
		t.Run(name, func(t *testing.T) {
			data, err := codec.encode(record)
			require.NoError(t, err)
			var earlier earlierRecord
			require.NoError(t, codec.decode(data, &earlier))
			require.Equal(t, earlierRecord{"a", 7, true}, earlier)
			var again election.Record
			require.NoError(t, codec.decode(data, &again))
			require.Equal(t, record, again)
		})
	}
}

// Each field of the record has to reach other hosts.
func TestRecordTravelsWhole(t *testing.T) {
	text := `{"Holder":"a","Address":"b","Epoch":1,"Renewal":2,"Ordering":true,"Era":3,"Quarantine":[{"Part":"p","Crashes":5}],` +
		`"Versions":[{"Service":"s","Software":"v"}],"Successor":"c","Passes":4,"Later":5}`
	var record, heard election.Record
	require.NoError(t, json.Unmarshal([]byte(text), &record))
	for i := range reflect.TypeFor[election.Record]().NumField() {
		require.False(t, reflect.ValueOf(record).Field(i).IsZero(), "field %s is not in the text", reflect.TypeFor[election.Record]().Field(i).Name)
	}
	require.Len(t, record.Unknown, 1)
	message, err := cbor.Marshal(record)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(message, &heard))
	require.Equal(t, record, heard)
}

// A takeover that a host of an earlier build had written for this one, and whose answer was lost, was taken for that of
// another host: the earlier build drops fields that it does not know.
func TestWriteByEarlierBuildIsKnownAgain(t *testing.T) {
	duty := election.Duty{Self: "b", Address: "10.0.0.1:1"}
	duty.Observe(0, revision(5), election.Record{Holder: "a", Epoch: 7, Renewal: 3, Passes: 2, Quarantine: quarantine.List{{Part: "p", Crashes: 5}}})
	takeover, due := duty.NextWrite(at(election.LeaseDuration+election.ClockMargin), false)
	require.True(t, due)
	found := takeover.Record
	found.Passes, found.Quarantine = 0, nil
	require.True(t, takeover.Wrote(found))
	for name, change := range map[string]func(*election.Record){
		"another host":       func(r *election.Record) { r.Holder = "c" },
		"an earlier process": func(r *election.Record) { r.Address = "10.0.0.2:1" },
		"another tenure":     func(r *election.Record) { r.Epoch++ },
		"another attempt":    func(r *election.Record) { r.Renewal++ },
		"another era":        func(r *election.Record) { r.Era++ },
	} {
		other := found
		change(&other)
		require.False(t, takeover.Wrote(other), name)
	}
}
