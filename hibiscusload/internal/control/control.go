// Package control measures what a node spends on control: processor time,
// memory, bytes and calls to the platform while no requests are served, and how
// long a change takes to be in force.
package control

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/operator"
)

// A Measurement is one run. Fill in the fields.
type Measurement struct {
	Operator operator.Client // with the operators' addresses of all nodes
	PIDs     []int           // of the nodes, in the same order
	Duration time.Duration
	Changes  int // that are made and timed
	Label    string
	Out      io.Writer
}

// sample is what one node has spent so far.
type sample struct {
	cpu                      time.Duration
	resident                 fleet.Bytes
	peers, platform, targets fleet.Bytes
	reads, writes, watches   uint64
	at                       time.Time
}

// clockTicks is the unit of processor time that the system reports in.
const clockTicks = 100

// Run measures and prints one row: means over the nodes, and the worst node.
func (m *Measurement) Run(ctx context.Context) error {
	start, err := m.samples(ctx)
	if err != nil {
		return err
	}
	inForce, err := m.change(ctx)
	if err != nil {
		return err
	}
	before, err := m.samples(ctx)
	if err != nil {
		return err
	}
	select {
	case <-time.After(m.Duration):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := m.samples(ctx)
	if err != nil {
		return err
	}
	return m.print(start, before, after, inForce)
}

func (m *Measurement) print(start, before, after []sample, inForce []time.Duration) error {
	var cpu, worstCPU, peers, platform, targets, worstBytes, calls, writes, perChange float64
	var resident, worstResident fleet.Bytes
	for i := range after {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		share := 100 * (after[i].cpu - before[i].cpu).Seconds() / seconds
		peer := float64(after[i].peers-before[i].peers) / seconds
		service := float64(after[i].platform-before[i].platform) / seconds
		target := float64(after[i].targets-before[i].targets) / seconds
		perChange += float64(before[i].platform-start[i].platform) / float64(max(1, m.Changes))
		cpu += share
		peers += peer
		platform += service
		targets += target
		resident += after[i].resident
		calls += float64(after[i].reads-before[i].reads+after[i].watches-before[i].watches) / seconds
		writes += float64(after[i].writes-before[i].writes) / seconds
		worstCPU = max(worstCPU, share)
		worstBytes = max(worstBytes, peer+service+target)
		worstResident = max(worstResident, after[i].resident)
	}
	n := float64(len(after))
	const megabyte = 1 << 20
	slices.Sort(inForce)
	w := tabwriter.NewWriter(m.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RUN\tNODES\tCPU %\tWORST\tMB\tWORST\tPEERS B/S\tPLATFORM B/S\tTARGETS B/S\tWORST SUM\tFLEET READS+WATCHES/S\tFLEET WRITES/S\tPLATFORM B/CHANGE\tIN FORCE P50\tMAX")
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%v\t%v\n", m.Label, len(after),
		cpu/n, worstCPU, float64(resident)/n/megabyte, float64(worstResident)/megabyte,
		peers/n, platform/n, targets/n, worstBytes, calls, writes, perChange/n,
		inForce[len(inForce)/2].Round(time.Millisecond), inForce[len(inForce)-1].Round(time.Millisecond))
	return w.Flush()
}

// change makes changes one after the other and returns how long each took to
// be in force at all nodes.
func (m *Measurement) change(ctx context.Context) ([]time.Duration, error) {
	times := make([]time.Duration, 0, m.Changes)
	for i := range m.Changes {
		_, read, err := m.Operator.Declaration(ctx)
		if err != nil {
			return nil, err
		}
		section := declaration.Section{
			ID:     declaration.SectionID{Kind: declaration.KindClass, Name: "measured"},
			Fields: []declaration.Field{{Key: "Priority", Text: strconv.Itoa(i)}},
		}
		change := declaration.Change{ID: declaration.ChangeID(rand.Text()), Put: []declaration.Section{section}}
		begun := time.Now()
		number, err := m.Operator.Apply(ctx, read, change)
		if err != nil {
			return nil, err
		}
		if err := m.Operator.AwaitVersion(ctx, number); err != nil {
			return nil, err
		}
		times = append(times, time.Since(begun))
	}
	return times, nil
}

func (m *Measurement) samples(ctx context.Context) ([]sample, error) {
	samples := make([]sample, len(m.PIDs))
	for i, pid := range m.PIDs {
		if err := samples[i].readProcess(pid); err != nil {
			return nil, err
		}
		if err := samples[i].readVars(ctx, m.Operator.Hosts[i]); err != nil {
			return nil, err
		}
	}
	return samples, nil
}

// readProcess reads processor time and resident memory from the system.
func (s *sample) readProcess(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// The fields after the name in brackets begin with the third.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const user, system, pages = 14 - 3, 15 - 3, 24 - 3
	if len(fields) <= pages {
		return fmt.Errorf("process %d: bad stat", pid)
	}
	var ticks, resident int64
	for _, field := range []int{user, system} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return err
		}
		ticks += n
	}
	if resident, err = strconv.ParseInt(fields[pages], 10, 64); err != nil {
		return err
	}
	s.cpu = time.Duration(ticks) * time.Second / clockTicks
	s.resident = fleet.Bytes(resident * int64(os.Getpagesize()))
	s.at = time.Now()
	return nil
}

// readVars reads the node's own counters.
func (s *sample) readVars(ctx context.Context, host fleet.Address) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(host)+"/debug/vars", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	type bytes struct{ Sent, Received fleet.Bytes }
	var vars struct {
		Peers, PlatformBytes, TargetBytes bytes
		Platform                          struct{ Reads, Writes, Watches uint64 }
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return err
	}
	s.peers = vars.Peers.Sent + vars.Peers.Received
	s.platform = vars.PlatformBytes.Sent + vars.PlatformBytes.Received
	s.targets = vars.TargetBytes.Sent + vars.TargetBytes.Received
	s.reads, s.writes, s.watches = vars.Platform.Reads, vars.Platform.Writes, vars.Platform.Watches
	return nil
}
