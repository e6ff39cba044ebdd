// Package fleet defines the basic types shared by all programs of hibiscuslb:
// identifiers of the parts of a fleet, units of measure, and the outcomes and
// reasons of refused requests.
//
// A fleet is a set of regions, a region a set of data centres. A data centre
// contains hosts, which run hibiscuslb, and targets, which are the back ends that
// serve requests. Callers belong to workspaces. Every identifier has a distinct
// type, so that the compiler rejects a host where a target is meant.
//
// Two programs run hosts: hibiscusd, whose targets are declared by operators (package
// declaration), and hibiscusfront, whose targets register themselves in a platform
// (package roster). The packages in this module that only one of them uses say so.
//
// The package has no behaviour beyond formatting and arithmetic on its types.
package fleet

import (
	"strconv"
	"time"
)

// HostID identifies a host. Only one process runs on a host at a time.
type HostID string

// DataCentreID identifies a data centre.
type DataCentreID string

// RegionID identifies a region, a set of data centres that are close together.
type RegionID string

// TargetID identifies a back end: a model engine or a plain service.
type TargetID string

// StoreID identifies a store host, which stores cache blocks.
type StoreID string

// WorkspaceID identifies a workspace, that is, a customer.
type WorkspaceID string

// ModelID identifies a model, or the kind of a plain service.
type ModelID string

// WeightVersion identifies one version of a model's weights. Hibiscusfront uses
// plain uint64 numbers instead, because its platform orders versions by number.
type WeightVersion string

// Software identifies a version of the software of a target. Versions are compared, but have no
// order.
type Software string

// Class is the kind of a request within its workspace, such as "nudge".
type Class string

// RequestID identifies one attempt of a caller at a request.
type RequestID string

// maxLoggedID bounds what log lines contain of an ID. Callers choose IDs, of up to the length of a head, and the
// log keeps thousands of lines while its reader is slow.
const maxLoggedID = 64 // bytes

// ForLog returns the ID, or its start if it is long.
func (id RequestID) ForLog() string { return string(id[:min(len(id), maxLoggedID)]) }

// Address is an IP address and a port, as in "127.0.0.1:7000".
type Address string

// Incarnation distinguishes the runs of a host or target. It grows with every
// start.
type Incarnation uint64

// Epoch numbers the successive holders of a duty. It grows with every change of
// holder and is the fencing token of requests and commands to engines.
type Epoch uint64

// Version is the number of a configuration, of a revision of the object store, or of a
// value in it. Zero means that there is none.
type Version uint64

// Tokens counts tokens of a prompt or an answer.
type Tokens int

// Bytes counts bytes.
type Bytes int64

// ByteRate is a number of bytes per second.
type ByteRate int64

// TokenRate is a number of tokens per second.
type TokenRate int64

// Time returns how long n bytes take at the rate r. It returns zero if r is not
// positive.
func (r ByteRate) Time(n Bytes) time.Duration {
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(r) * float64(time.Second))
}

// Time returns how long n tokens take at the rate r. It returns zero if r is not
// positive.
func (r TokenRate) Time(n Tokens) time.Duration {
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(r) * float64(time.Second))
}

// Instant is a reading of one process's monotonic clock, relative to an arbitrary
// start. Instants of different processes are not comparable.
type Instant time.Duration

// Add returns the instant d later than i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// String formats the instant as a duration since the clock's start.
func (i Instant) String() string { return time.Duration(i).String() }

// Clock reads a monotonic clock.
type Clock func() Instant

// MonotonicClock returns a clock whose first reading is one hour, so that the
// zero Instant is well in the past.
func MonotonicClock() Clock {
	start := time.Now().Add(-time.Hour)
	return func() Instant { return Instant(time.Since(start)) }
}

// String formats the incarnation as a decimal number.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 10) }

// Outcome reports whether a finished request was run by a target, as far as is
// known.
type Outcome uint8

const (
	// OutcomeNotRun means that no byte of the request was sent to a target, or
	// that the target provably refused it.
	OutcomeNotRun Outcome = iota
	// OutcomeRan means that the target answered.
	OutcomeRan
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
)

// String returns the text of the outcome that is sent to callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not run"
	case OutcomeRan:
		return "ran"
	default:
		return "outcome unknown"
	}
}
