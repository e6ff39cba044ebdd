// Package report stores the measurements of experiment runs in JSON files, and
// compares runs in tables and plots.
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

// A Run holds the measurements of one run. Its fields are stored in JSON under their
// Go names.
type Run struct {
	Name, Route, Deployment string
	Rate                    float64 // requests per second
	Seed                    uint64
	Took                    time.Duration // from the start of the run to the end of its last request
	Requests                int
	Whole                   int                      // requests with a complete and correct answer
	Refused                 int                      // requests that provably did not run
	Unknown                 int                      // requests that failed with an unknown outcome
	Wrong                   int                      // requests with the answer to another prompt
	Late                    int                      // complete answers whose first token missed its deadline
	Overloads               int                      // requests beyond the limit of a cold engine
	Recomputed              float64                  // share of prompt tokens that engines computed
	MemoryBytes, DiskBytes  fleet.Bytes              // read from the stores' memory and disk
	WrittenBytes            fleet.Bytes              // written to the stores
	LinkUse                 float64                  // booked link time per store and elapsed time; above 1 if overbooked
	FirstToken              map[string]meter.Summary // time to first token, by workspace and class
	Between                 map[string]meter.Summary // time between pieces, by workspace and class
	Refusals                map[string]int           // refused and unknown requests, by error
	Events                  []AppliedEvent
	Points                  []Point // one for each complete answer
}

// An AppliedEvent records an event that was applied during a run.
type AppliedEvent struct {
	Name string
	At   time.Duration // since the start of the run
}

// A Point is the arrival time of a request, since the start of the run, and its time
// to first token.
type Point struct{ At, FirstToken time.Duration }

// Save writes the run to the file NAME.json in the folder.
func (r *Run) Save(folder string) error {
	data, err := json.MarshalIndent(r, "", "\t")
	if err != nil {
		return fmt.Errorf("encoding run %s: %w", r.Name, err)
	}
	return os.WriteFile(filepath.Join(folder, r.Name+".json"), data, 0o644)
}

// Load reads the runs of all JSON files in a folder.
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
			return nil, fmt.Errorf("decoding run from %s: %w", file, err)
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// Table writes a table with one row per run, and one with a row per series of each
// run.
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
				roundToMs(first.P50), roundToMs(first.P95), roundToMs(first.P99),
				roundToMs(between.P50), roundToMs(between.P95), roundToMs(between.P99))
		}
	}
	return w.Flush()
}

func roundToMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
