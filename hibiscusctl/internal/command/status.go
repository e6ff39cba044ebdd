package command

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"text/tabwriter"

	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/operatorapi"
)

// exceptions prints the exceptions of the current declaration with their fields.
func (r *run) exceptions(ctx context.Context) error {
	current, number, err := r.client().Declaration(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "version %d\n", number)
	for _, section := range current.Sorted() {
		if section.ID.Kind != declaration.KindException {
			continue
		}
		fmt.Fprintln(r.out, section.ID)
		for _, field := range section.Fields {
			fmt.Fprintf(r.out, "  %s = %s\n", field.Key, field.Text)
		}
	}
	return nil
}

// status prints a table of all hosts and one of the targets that they serve. It
// asks every host for its own status, except those that have ended.
func (r *run) status(ctx context.Context) error {
	client := r.client()
	first, err := client.Status(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(first.Members, func(a, b operatorapi.Member) int { return cmp.Compare(a.Host, b.Host) })
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tINCARNATION\tDATA CENTRE\tSTATE\tVERSION\tMAY ACT\tTARGETS")
	var targets []operatorapi.Target
	for _, member := range first.Members {
		if member.State == string(lease.Ended) {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t\t\t\n", member.Host, member.Incarnation, member.DataCentre, member.State)
			continue
		}
		hostStatus, err := client.StatusAt(ctx, member.Operators)
		if err != nil {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\tno answer\t\t\n", member.Host, member.Incarnation, member.DataCentre, member.State)
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%t\t%d\n", member.Host, member.Incarnation, member.DataCentre,
			member.State, hostStatus.Number, hostStatus.MayAct, len(hostStatus.Targets))
		targets = append(targets, hostStatus.Targets...)
	}
	fmt.Fprintln(table, "\nTARGET\tEPOCH\tLIMIT\tIN FLIGHT\tWAITING\tCOLD\tDOWN\tWEIGHTS\tBLOCKS")
	slices.SortFunc(targets, func(a, b operatorapi.Target) int { return cmp.Compare(a.Target, b.Target) })
	for _, t := range targets {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%t\t%t\t%s\t%d\n",
			t.Target, t.Epoch, t.Limit, t.InFlight, t.Waiting, t.Cold, t.Down, t.Version, t.Blocks)
	}
	return table.Flush()
}
