package host

import (
	"context"
	"os"
	"reflect"
	"time"

	"hibiscuslb/platform"
)

// settingsInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsInterval = 3 * time.Second

// WatchSettings makes Run read the settings file again at each signal and at
// intervals. It must be called before Run.
func (h *Host) WatchSettings(file string, signals <-chan os.Signal) {
	h.settingsFile, h.reload = file, signals
}

// watchSettings applies changes of the settings file until the context ends. Only
// Bounds are applied, and of these not Grace, AddressTTL, Configuration and, for
// local choices, Weights. Everything else needs a restart, for example the
// addresses, which callers and other hosts already use.
//
// Before each read it also logs how many log lines were dropped. A host without a
// settings file does neither.
func (h *Host) watchSettings(ctx context.Context) {
	if h.settingsFile == "" {
		return
	}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	current := h.settings
	dropped := int64(0)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-h.reload:
			signalled = true
		case <-ticker.C:
		}
		dropped = h.logDropped(dropped)
		settings, err := platform.ReadSettings(h.settingsFile)
		if err != nil {
			h.log.Warn().Err(err).Msg("cannot read the settings again; keeping the previous settings")
			continue
		}
		changed := !reflect.DeepEqual(settings, current)
		if changed {
			current = settings
			h.control.SetBounds(ctx, settings.Bounds)
			h.planner.SetBounds(ctx, settings.Bounds)
			h.chooser.SetMaxPause(maxPauseWindows * settings.Bounds.RetryWindow)
		}
		if changed || signalled {
			h.log.Info().Bool("Signal", signalled).Bool("Changed", changed).Msg("settings read again; only the bounds of leases, weights and retries are applied without a restart")
		}
	}
}

// logDropped logs the number of log lines dropped since the total was before and
// returns the new total.
func (h *Host) logDropped(before int64) int64 {
	if h.DroppedLines == nil {
		return 0
	}
	dropped := h.DroppedLines()
	if dropped > before {
		h.log.Warn().Int64("Lines", dropped-before).Msg("log lines were dropped because the reader of standard output is too slow")
	}
	return dropped
}
