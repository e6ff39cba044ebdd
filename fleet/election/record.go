package election

import (
	"encoding/json"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/quarantine"
)

// A Record is the content of the duty's object. In the object store it is JSON, and between hosts
// CBOR, under the names of its fields.
//
// Hosts of different builds hold the duty one after the other, so that a field that a build adds is
// written again by hosts that do not know it. A holder passes on what it found in Unknown. In CBOR,
// which has other types than JSON, only the fields of messageRecord are fields of the message; those that are
// added to Record have to travel in its Rest.
type Record struct {
	Holder   fleet.HostID // empty if the last holder resigned
	Address  fleet.Address
	Epoch    fleet.Epoch
	Renewal  uint64 // grows with each attempted write, so that no two records are equal
	Ordering bool   // the holder may have given orders to targets
	Era      uint64 // of the object store for which the record was written
	// Quarantine is what the holder passes on to all hosts and to its successor. A
	// holder that has nothing of its own to pass on keeps what it found.
	Quarantine quarantine.List `json:",omitempty"`
	// Versions is passed on in the same way.
	Versions origin.Versions `json:",omitempty"`
	// Successor is the host to which the last holder wants to hand the duty over, if it resigned for that.
	Successor fleet.HostID `json:",omitempty"`
	// Passes counts the times in a row that the duty was handed over to a host of which it was not known
	// whether it can do better.
	Passes int `json:",omitempty"`
	// Unknown has the fields of later builds, as JSON. It must not be changed.
	Unknown map[string]json.RawMessage `json:"-"`
}

// knownRecord is Record without its methods.
type knownRecord Record

// knownFields are the names of the fields of Record in JSON.
var knownFields = []string{"Holder", "Address", "Epoch", "Renewal", "Ordering", "Era", "Quarantine", "Versions", "Successor", "Passes"}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(knownRecord(r))
	if err != nil || len(r.Unknown) == 0 {
		return known, err
	}
	fields := maps.Clone(r.Unknown)
	if err := json.Unmarshal(known, &fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Record) UnmarshalJSON(data []byte) error {
	var known knownRecord
	if err := json.Unmarshal(data, &known); err != nil {
		return err
	}
	if err := json.Unmarshal(data, &known.Unknown); err != nil {
		return err
	}
	for _, name := range knownFields {
		delete(known.Unknown, name)
	}
	if len(known.Unknown) == 0 {
		known.Unknown = nil
	}
	*r = Record(known)
	return nil
}

// messageRecord is a Record in a message between hosts.
type messageRecord struct {
	Holder     fleet.HostID
	Address    fleet.Address
	Epoch      fleet.Epoch
	Renewal    uint64
	Ordering   bool
	Era        uint64
	Quarantine quarantine.List `json:",omitempty"`
	Versions   origin.Versions `json:",omitempty"`
	Successor  fleet.HostID    `json:",omitempty"`
	Passes     int             `json:",omitempty"`
	Rest       []byte          `json:",omitempty"` // a JSON object with the other fields
}

// MarshalCBOR implements cbor.Marshaler.
func (r Record) MarshalCBOR() ([]byte, error) {
	m := messageRecord{r.Holder, r.Address, r.Epoch, r.Renewal, r.Ordering, r.Era, r.Quarantine, r.Versions, r.Successor, r.Passes, nil}
	if len(r.Unknown) > 0 {
		rest, err := json.Marshal(r.Unknown)
		if err != nil {
			return nil, err
		}
		m.Rest = rest
	}
	return cbor.Marshal(m)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *Record) UnmarshalCBOR(data []byte) error {
	var m messageRecord
	if err := cbor.Unmarshal(data, &m); err != nil {
		return err
	}
	var rest Record
	if len(m.Rest) > 0 {
		if err := json.Unmarshal(m.Rest, &rest); err != nil {
			return err
		}
	}
	*r = Record{m.Holder, m.Address, m.Epoch, m.Renewal, m.Ordering, m.Era, m.Quarantine, m.Versions, m.Successor, m.Passes, rest.Unknown}
	return nil
}
