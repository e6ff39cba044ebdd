// Package control measures the cost of the control plane: the processor time,
// memory, network traffic and platform calls of each host while the fleet serves no
// requests, and the time until a change of the declaration is in force.
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

// A Measurement is one run. The caller sets all fields.
type Measurement struct {
	Operator operator.Client // with the operators' addresses of all hosts
	PIDs     []int           // of hibiscusd on the hosts, in the order of Operator.Hosts
	Duration time.Duration
	Changes  int // number of changes of the declaration to make and time; at least 1
	Label    string
	Out      io.Writer
}

// A sample holds the resource use of one host up to the time at. Memory is the
// current value, all others are totals since the start of the process.
type sample struct {
	cpu                      time.Duration
	resident                 fleet.Bytes // resident memory
	peers, platform, targets fleet.Bytes // sent and received
	reads, writes, watches   uint64      // calls to the platform
	at                       time.Time
}

// ticksPerSecond is the unit of processor times in /proc/PID/stat (USER_HZ).
const ticksPerSecond = 100

// Run makes the changes, then samples the idle fleet over Duration, and prints one
// row: means over the hosts and the highest values of one host.
func (m *Measurement) Run(ctx context.Context) error {
	start, err := m.takeSamples(ctx)
	if err != nil {
		return err
	}
	applyTimes, err := m.timeChanges(ctx)
	if err != nil {
		return err
	}
	before, err := m.takeSamples(ctx)
	if err != nil {
		return err
	}
	select {
	case <-time.After(m.Duration):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := m.takeSamples(ctx)
	if err != nil {
		return err
	}
	return m.print(start, before, after, applyTimes)
}

// print writes the row. The changes are made between the samples start and before; the
// fleet is idle between before and after.
func (m *Measurement) print(start, before, after []sample, applyTimes []time.Duration) error {
	var cpu, worstCPU, peers, platform, targets, worstBytes, readsAndWatches, writes, perChange float64
	var resident, worstResident fleet.Bytes
	for i := range after {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		cpuPercent := 100 * (after[i].cpu - before[i].cpu).Seconds() / seconds
		peerRate := float64(after[i].peers-before[i].peers) / seconds
		platformRate := float64(after[i].platform-before[i].platform) / seconds
		targetRate := float64(after[i].targets-before[i].targets) / seconds
		perChange += float64(before[i].platform-start[i].platform) / float64(max(1, m.Changes))
		cpu += cpuPercent
		peers += peerRate
		platform += platformRate
		targets += targetRate
		resident += after[i].resident
		readsAndWatches += float64(after[i].reads-before[i].reads+after[i].watches-before[i].watches) / seconds
		writes += float64(after[i].writes-before[i].writes) / seconds
		worstCPU = max(worstCPU, cpuPercent)
		worstBytes = max(worstBytes, peerRate+platformRate+targetRate)
		worstResident = max(worstResident, after[i].resident)
	}
	n := float64(len(after))
	const megabyte = 1 << 20
	slices.Sort(applyTimes)
	w := tabwriter.NewWriter(m.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RUN\tNODES\tCPU %\tWORST\tMB\tWORST\tPEERS B/S\tPLATFORM B/S\tTARGETS B/S\tWORST SUM\tFLEET READS+WATCHES/S\tFLEET WRITES/S\tPLATFORM B/CHANGE\tIN FORCE P50\tMAX")
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%v\t%v\n", m.Label, len(after),
		cpu/n, worstCPU, float64(resident)/n/megabyte, float64(worstResident)/megabyte,
		peers/n, platform/n, targets/n, worstBytes, readsAndWatches, writes, perChange/n,
		applyTimes[len(applyTimes)/2].Round(time.Millisecond), applyTimes[len(applyTimes)-1].Round(time.Millisecond))
	return w.Flush()
}

// timeChanges makes changes one after the other and returns the time from each Apply
// until the change was in force at all hosts.
func (m *Measurement) timeChanges(ctx context.Context) ([]time.Duration, error) {
	times := make([]time.Duration, 0, m.Changes)
	for i := range m.Changes {
		_, version, err := m.Operator.Declaration(ctx)
		if err != nil {
			return nil, err
		}
		section := declaration.Section{
			ID:     declaration.SectionID{Kind: declaration.KindClass, Name: "measured"},
			Fields: []declaration.Field{{Key: "Priority", Text: strconv.Itoa(i)}},
		}
		change := declaration.Change{ID: declaration.ChangeID(rand.Text()), Put: []declaration.Section{section}}
		start := time.Now()
		newVersion, err := m.Operator.Apply(ctx, version, change)
		if err != nil {
			return nil, err
		}
		if err := m.Operator.AwaitVersion(ctx, newVersion); err != nil {
			return nil, err
		}
		times = append(times, time.Since(start))
	}
	return times, nil
}

// takeSamples samples all hosts.
func (m *Measurement) takeSamples(ctx context.Context) ([]sample, error) {
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

// readProcess reads processor time and resident memory from /proc/PID/stat.
func (s *sample) readProcess(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// Field 2 is the process name in parentheses; the text after it starts with
	// field 3. Fields are numbered from 1, as in proc(5).
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 14 - 3, 15 - 3, 24 - 3
	if len(fields) <= residentPages {
		return fmt.Errorf("/proc/%d/stat has %d fields after the process name, want at least %d", pid, len(fields), residentPages+1)
	}
	var ticks, resident int64
	for _, field := range []int{userTime, systemTime} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return fmt.Errorf("processor time in /proc/%d/stat: %w", pid, err)
		}
		ticks += n
	}
	if resident, err = strconv.ParseInt(fields[residentPages], 10, 64); err != nil {
		return fmt.Errorf("resident memory in /proc/%d/stat: %w", pid, err)
	}
	s.cpu = time.Duration(ticks) * time.Second / ticksPerSecond
	s.resident = fleet.Bytes(resident * int64(os.Getpagesize()))
	s.at = time.Now()
	return nil
}

// readVars reads the counters that the host publishes at its address for operators.
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
		return fmt.Errorf("decoding the counters of host %s: %w", host, err)
	}
	s.peers = vars.Peers.Sent + vars.Peers.Received
	s.platform = vars.PlatformBytes.Sent + vars.PlatformBytes.Received
	s.targets = vars.TargetBytes.Sent + vars.TargetBytes.Received
	s.reads, s.writes, s.watches = vars.Platform.Reads, vars.Platform.Writes, vars.Platform.Watches
	return nil
}
