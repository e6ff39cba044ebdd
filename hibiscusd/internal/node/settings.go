// Package node puts the parts of a host's process together, and runs and stops
// them in order.
package node

import (
	"encoding/hex"
	"regexp"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/settings"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/entry"
	"hibiscuslb/hibiscusd/internal/keeper"
)

// Settings are all that a host's process is told at its start.
type Settings struct {
	Host            control.Host
	Platform        fleet.Address
	PlatformTimeout time.Duration
	FleetKey        string       // that hosts show each other
	OperatorKey     string       // that operators show
	CacheSecret     cache.Secret // from which cache names are derived
	LeaseTiming     lease.Timing
	Entry           entry.Limits
	Keeper          keeper.Limits
	OrderRetention  time.Duration // of idempotency keys
	DrainTimeout    time.Duration // longest wait for requests at a planned stop
	LogLevel        zerolog.Level
}

var hostName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// ReadSettings reads and checks a settings file. An error is a
// *settings.Error, or tells why the file can not be read.
func ReadSettings(file string) (*Settings, error) {
	reader, err := settings.Open(file)
	if err != nil {
		return nil, err
	}
	s := readSettings(reader)
	if err := reader.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

func readSettings(r *settings.Reader) *Settings {
	s := &Settings{
		Host: control.Host{
			ID:           fleet.HostID(r.TextMatching("Host", "Name", hostName)),
			DataCentre:   fleet.DataCentreID(r.Required("Host", "DataCentre")),
			Region:       fleet.RegionID(r.Required("Host", "Region")),
			CallerAddr:   r.Address("Listen", "Callers"),
			PeerAddr:     r.Address("Listen", "Hosts"),
			OperatorAddr: r.Address("Listen", "Operators"),
		},
		Platform:        r.Address("Platform", "Address"),
		PlatformTimeout: r.Duration("Platform", "Timeout", 2*time.Second, 100*time.Millisecond, 30*time.Second),
		FleetKey:        r.Required("Keys", "Fleet"),
		OperatorKey:     r.Required("Keys", "Operators"),
	}
	secret := r.Required("Keys", "CacheSecret")
	if n, err := hex.Decode(s.CacheSecret[:], []byte(secret)); secret != "" && (err != nil || n != len(s.CacheSecret)) {
		r.AddProblem("Keys", "CacheSecret", "want 64 hexadecimal digits")
	}
	s.LeaseTiming = lease.Timing{
		Length: r.Duration("Lease", "Length", lease.DefaultTiming.Length, time.Second, time.Minute),
		Margin: r.Duration("Lease", "Margin", lease.DefaultTiming.Margin, 0, time.Minute),
		Drift:  lease.DefaultTiming.Drift,
	}
	s.Entry = entry.Limits{
		BodyBytes:      fleet.Bytes(r.Count("Limits", "BodyBytes", 4<<20, 1<<10, 12<<20)),
		MaxTokens:      fleet.Tokens(r.Count("Limits", "MaxTokens", 4096, 1, 1<<20)),
		Concurrency:    r.Count("Limits", "Streams", 512, 1, 100_000),
		RequestTimeout: r.Duration("Limits", "RequestTime", 2*time.Minute, time.Second, time.Hour),
		AddressTTL:     r.Duration("Limits", "AddressTTL", 5*time.Second, time.Second, time.Hour),
	}
	s.Keeper = keeper.Limits{
		MaxQueueLen: r.Count("Limits", "Queue", 64, 0, 10_000),
		CallTimeout: r.Duration("Limits", "CallTime", 3*time.Second, 100*time.Millisecond, time.Minute),
		IdleTimeout: r.Duration("Limits", "IdleTime", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
	}
	s.OrderRetention = r.Duration("Orders", "Retention", 24*time.Hour, time.Minute, 31*24*time.Hour)
	s.DrainTimeout = r.Duration("Stop", "LongestWait", 5*time.Minute, time.Second, time.Hour)
	level := r.Choice("Log", "Level", "info", "debug", "warn", "error")
	s.LogLevel, _ = zerolog.ParseLevel(level) // the choices are all levels
	return s
}
