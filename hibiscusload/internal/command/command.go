// Package command is the command line of the load tool.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/operator"
	"hibiscuslb/hibiscusload/internal/control"
	"hibiscuslb/hibiscusload/internal/demo"
	"hibiscuslb/hibiscusload/internal/target"
)

// options are the values of the command line, as flaggy fills them.
type options struct {
	entries, operators, key string
	engines, stores         string
	service, weights        string
	stopPID                 int
	pids, label             string
	time                    time.Duration
	changes                 int
}

// Run parses the command line and carries out the command.
func Run(ctx context.Context, args []string, out io.Writer) error {
	var o options
	parser := flaggy.NewParser("hibiscusload")
	parser.Description = "load and experiments for a hibiscuslb fleet"
	parser.String(&o.entries, "", "entries", "callers' addresses of some hosts, separated by commas")
	parser.String(&o.operators, "", "operators", "operators' addresses of some hosts")
	parser.String(&o.key, "", "key", "operators' key")
	parser.String(&o.engines, "", "engines", "addresses of the engines")
	parser.String(&o.stores, "", "stores", "addresses of the stores")
	parser.String(&o.service, "", "service", "address of the plain service")
	parser.String(&o.weights, "", "weights", "address of the weight store")
	show := flaggy.NewSubcommand("demo")
	show.Description = "send requests through the whole path and check every count"
	show.Int(&o.stopPID, "", "stop-pid", "process id of the node that the demo stops")
	parser.AttachSubcommand(show, 1)
	cost := o.controlCommand()
	parser.AttachSubcommand(cost, 1)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if show.Used {
		return o.demo(ctx, out)
	}
	if cost.Used {
		return o.control(ctx, out)
	}
	parser.ShowHelp()
	return errors.New("name a command")
}

func (o *options) controlCommand() *flaggy.Subcommand {
	o.time, o.changes = 30*time.Second, 10
	sub := flaggy.NewSubcommand("control")
	sub.Description = "measure what nodes spend on control while they are idle"
	sub.String(&o.pids, "", "pids", "process ids of the nodes, in the order of --operators")
	sub.String(&o.label, "", "label", "name of the run")
	sub.Duration(&o.time, "", "time", "how long to measure")
	sub.Int(&o.changes, "", "changes", "changes of the declaration to make and time")
	return sub
}

func (o *options) control(ctx context.Context, out io.Writer) error {
	m := &control.Measurement{
		Operator: operator.Client{Hosts: addresses(o.operators), Key: o.key},
		Time:     o.time, Changes: o.changes, Label: o.label, Out: out,
	}
	for text := range strings.SplitSeq(o.pids, ",") {
		pid, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("--pids: %w", err)
		}
		m.PIDs = append(m.PIDs, pid)
	}
	return m.Run(ctx)
}

func addresses(text string) []fleet.Address {
	var list []fleet.Address
	for address := range strings.SplitSeq(text, ",") {
		if address != "" {
			list = append(list, fleet.Address(address))
		}
	}
	return list
}

func (o *options) targets() target.Set {
	return target.Set{
		Engines: addresses(o.engines), Stores: addresses(o.stores),
		Service: fleet.Address(o.service), Weights: fleet.Address(o.weights),
	}
}

func (o *options) demo(ctx context.Context, out io.Writer) error {
	d := &demo.Demo{
		Entries:  addresses(o.entries),
		Operator: operator.Client{Hosts: addresses(o.operators), Key: o.key},
		Targets:  o.targets(), StopPID: o.stopPID, Out: out,
	}
	return d.Run(ctx)
}
