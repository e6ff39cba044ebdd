// Package node assembles the process of a host (hibiscusd) from its settings, and
// starts and stops its parts in order.
//
// On a planned stop, duties are handed over and requests end before the control
// state stops. The member object is marked as ended last, when the host can no
// longer act for any duty.
package node

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/settings"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/entry"
	"hibiscuslb/hibiscusd/internal/owner"
)

// Settings are the settings of a host's process, which do not change while it runs.
type Settings struct {
	Host            control.Host
	Platform        fleet.Address // of the platform's object store
	PlatformTimeout time.Duration // of one call to it, other than a watch
	FleetKey        string        // authenticates hosts to each other
	OperatorKey     string        // authenticates operators
	CacheSecret     cache.Secret  // from which the keys of cache blocks are derived
	LeaseTiming     lease.Timing
	Entry           entry.Limits
	Owner           owner.Limits  // of the targets that this host owns
	OrderRetention  time.Duration // of idempotency keys
	DrainTimeout    time.Duration // longest wait for running requests on a planned stop
	LogLevel        zerolog.Level
}

var hostName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// ReadSettings reads and checks a settings file. It returns a *settings.Error if a
// setting is wrong, or another error if the file cannot be read.
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
		r.AddProblem("Keys", "CacheSecret", fmt.Sprintf("want 64 hexadecimal digits, have %d characters", len(secret)))
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
	s.Owner = owner.Limits{
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
