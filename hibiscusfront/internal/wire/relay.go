package wire

import (
	"fmt"
	"net/http"
	"time"

	"hibiscuslb/fleet"
)

// A RelayRequest asks a host to send a request to a target to which the asking host has no way,
// exactly as given, except that its deadline shrinks. The host sends it only after a RelayGo,
// which has the body.
type RelayRequest struct {
	Number   uint64 // under which the asking host gives credit; no other request of it that runs has it
	Host     fleet.HostID
	ID       fleet.RequestID
	Target   fleet.TargetID
	Address  fleet.Address
	Method   string
	URI      string
	HostName string // of the Host header
	Header   http.Header
	Length   int // of the body in bytes
	SendOnce bool
	Left     time.Duration // until the deadline
}

// A RelayResult is the state of a relayed request.
type RelayResult uint8

// The first part has the result RelayReady, or that of a request that was not sent. The next one has the result
// RelayBegun, or that of a request without an answer. The last one after RelayBegun has RelayComplete or
// RelayBroken: an exchange that ends otherwise broke off.
const (
	RelayBegun    RelayResult = iota + 1 // the header has arrived; Status, Header and Framing are set
	RelayMore                            // Data has more of the body
	RelayComplete                        // the body has ended as its framing says
	RelayBroken                          // the body broke off
	RelayNoAnswer                        // the request may have run; there was no valid answer
	// The request was not sent:
	RelayNoWay   // the host, which reaches other targets, has no connection to this one
	RelayCutOff  // the host reaches hardly any target itself
	RelayRefused // the host passes on no more requests, leaves, or must send the target nothing
	RelayReady   // the host has a connection to the target and waits for RelayGo
)

// String returns the result for logs and metrics.
func (r RelayResult) String() string {
	names := [...]string{"", "begun", "more", "complete", "broken off", "no answer", "no way", "cut off", "refused", "ready"}
	if int(r) < len(names) && r > 0 {
		return names[r]
	}
	return fmt.Sprintf("result %d", r)
}

// A RelayPart is a part of the answer to a RelayRequest.
type RelayPart struct {
	Result  RelayResult
	Detail  string      `cbor:",omitempty"` // of what went wrong
	Status  int         `cbor:",omitempty"`
	Header  http.Header `cbor:",omitempty"`
	Framing uint8       `cbor:",omitempty"` // a backend.Framing
	Data    []byte      `cbor:",omitempty"`
	Doubt   bool        `cbor:",omitempty"` // what went wrong may lie between the relaying host and the target
}

// A RelayGo lets a host send the request for which it has said RelayReady.
type RelayGo struct {
	Number uint64
	Host   fleet.HostID  // that asked
	Left   time.Duration // until the deadline
	Body   []byte
	Window int // bytes of the body, as RelayCost counts them, that may be under way
}

// partBytes is what a part of a body occupies besides its data.
const partBytes = 256

// RelayCost returns what a part with n bytes of a body counts.
func RelayCost(n int) int { return n + partBytes }

// A RelayCredit allows a host to send Bytes more of the body of an answer, as RelayCost counts them.
type RelayCredit struct {
	Number uint64
	Host   fleet.HostID // that asked
	Bytes  int
}
