package host

import (
	"context"
	"os"
	"reflect"
	"time"

	"hibiscuslb/platform"
)

// settingsTime is the time between two looks at the settings file, which may
// change without a signal.
const settingsTime = 3 * time.Second

// Reload makes the host read its settings file again at each signal, and now
// and then by itself. It is called before Run.
func (h *Host) Reload(file string, signals <-chan os.Signal) { h.file, h.reload = file, signals }

// followSettings takes new settings until the context ends. Addresses stay as
// they were at the start: callers and other hosts know them.
func (h *Host) followSettings(ctx context.Context) {
	if h.file == "" {
		return
	}
	ticker := time.NewTicker(settingsTime)
	defer ticker.Stop()
	current := h.settings
	lines := int64(0)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-h.reload:
			asked = true
		case <-ticker.C:
		}
		lines = h.countDropped(lines)
		settings, err := platform.ReadSettings(h.file)
		if err != nil {
			h.log.Warn().Err(err).Msg("settings can not be read again; the old ones stay")
			continue
		}
		changed := !reflect.DeepEqual(settings, current)
		if changed {
			current = settings
			h.control.SetBounds(ctx, settings.Bounds)
			h.planner.SetBounds(ctx, settings.Bounds)
		}
		if changed || asked {
			h.log.Info().Bool("Signal", asked).Bool("Changed", changed).Msg("settings read again")
		}
	}
}

// countDropped logs how many log lines were dropped since the last look.
func (h *Host) countDropped(before int64) int64 {
	if h.DroppedLines == nil {
		return 0
	}
	dropped := h.DroppedLines()
	if dropped > before {
		h.log.Warn().Int64("Lines", dropped-before).Msg("log lines were dropped; the reader of standard output is too slow")
	}
	return dropped
}
