// Package report keeps the measures of runs in files and shows them as tables
// and plots, side by side.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/meter"
)

// A Run is the measures of one run.
type Run struct {
	Name, Route, Deployment string
	Rate                    float64 // requests per second
	Seed                    uint64
	Took                    time.Duration
	Requests, Whole         int
	Refused, Unknown, Wrong int
	Late                    int // whole answers whose first token missed its deadline
	Overloads               int // requests beyond a cold engine's bound
	Recomputed              float64
	MemoryBytes, DiskBytes  fleet.Bytes // read over the stores' links
	WrittenBytes            fleet.Bytes
	LinkUse                 float64 // share of the time that a store's link is busy
	FirstToken, Between     map[string]meter.Summary
	Refusals                map[string]int
	Events                  []Mark
	Points                  []Point
}

// A Mark is an event during a run.
type Mark struct {
	Name string
	At   time.Duration
}

// A Point is one answer.
type Point struct{ At, FirstToken time.Duration }

// Save writes the run to a file of its name in the folder.
func (r *Run) Save(folder string) error {
	data, err := json.MarshalIndent(r, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, r.Name+".json"), data, 0o644)
}

// Load reads all runs of a folder.
func Load(folder string) ([]*Run, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	var runs []*Run
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		run := new(Run)
		if err := json.Unmarshal(data, run); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// Table writes one row for each run and one for each series of it.
func Table(out io.Writer, runs []*Run) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RUN\tREQUESTS\tWHOLE\tREFUSED\tUNKNOWN\tWRONG\tLATE\tOVERLOADS\tRECOMPUTED\tLINK USE\tREAD MB\tWRITTEN MB")
	const megabyte = 1 << 20
	for _, r := range runs {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%d\t%d\n", r.Name, r.Requests, r.Whole, r.Refused,
			r.Unknown, r.Wrong, r.Late, r.Overloads, r.Recomputed, r.LinkUse,
			(r.MemoryBytes+r.DiskBytes)/megabyte, r.WrittenBytes/megabyte)
	}
	fmt.Fprintln(w, "\nRUN\tSERIES\tANSWERS\tFIRST TOKEN P50\tP95\tP99\tBETWEEN P50\tP95\tP99")
	for _, r := range runs {
		for _, name := range slices.Sorted(maps.Keys(r.FirstToken)) {
			first, between := r.FirstToken[name], r.Between[name]
			fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%v\t%v\t%v\t%v\n", r.Name, name, first.Count,
				ms(first.P50), ms(first.P95), ms(first.P99), ms(between.P50), ms(between.P95), ms(between.P99))
		}
	}
	return w.Flush()
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
