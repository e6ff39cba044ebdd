package ingress

import (
	"fmt"

	"hibiscuslb/fleet"
)

// Limits bound what clients make a host hold. Zero means no limit.
type Limits struct {
	Connections int         // open at once, at each listener
	Memory      fleet.Bytes // of heads and bodies beyond the free part of each request
}

const (
	// memoryShare divides the memory of the host to give Limits.Memory.
	memoryShare = 4
	// connectionMemory is what a connection takes that draws on nothing: its goroutine and buffers,
	// freeBytes, and what the kernel usually keeps for it and for the connection to a target. A
	// client that reads nothing of a long answer makes the kernel keep up to twice as much.
	connectionMemory = 128 << 10
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// connectionShare divides the descriptors for sockets: each connection of a client may need one to
	// a target, and there are those to the object store and to other hosts.
	connectionShare = 2
	// minConnections is the least limit. A host that has less is too small to serve at all.
	minConnections = 16
)

// DefaultLimits returns the limits of a host with the memory and number of descriptors, of which
// zero means unknown.
func DefaultLimits(memory fleet.Bytes, descriptors int) Limits {
	l := Limits{Memory: memory / memoryShare}
	if memory > 0 {
		l.Connections = int(memory / connectionMemory)
	}
	if descriptors > 0 {
		byDescriptors := max(0, descriptors-reservedDescriptors) / connectionShare
		if l.Connections == 0 || byDescriptors < l.Connections {
			l.Connections = byDescriptors
		}
	}
	if l.Connections > 0 || memory > 0 || descriptors > 0 {
		l.Connections = max(l.Connections, minConnections)
	}
	return l
}

// A LimitError reports a limit that can't be used.
type LimitError struct {
	Name  string
	Value int64
	Least int64
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s is %d, want 0 for the default or %d at least", e.Name, e.Value, e.Least)
}

// minMemory is the least memory for heads and bodies: a head of the greatest length of the shortest
// lines and a body of 4 MB fit.
const minMemory = 8 << 20

// Override returns the limits with those values that are not zero, or a *LimitError.
func (l Limits) Override(connections int, memory fleet.Bytes) (Limits, error) {
	switch {
	case connections != 0 && connections < minConnections:
		return l, &LimitError{"limit of connections", int64(connections), minConnections}
	case memory != 0 && memory < minMemory:
		return l, &LimitError{"limit of memory in bytes", int64(memory), minMemory}
	}
	if connections > 0 {
		l.Connections = connections
	}
	if memory > 0 {
		l.Memory = memory
	}
	return l, nil
}

// Share returns the limits of a listener that may have 1/n of the connections.
func (l Limits) Share(n int) Limits {
	if l.Connections > 0 {
		l.Connections = max(l.Connections/n, minConnections)
	}
	return l
}
