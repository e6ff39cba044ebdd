// Package command is the command line of the load tool.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/operator"
	"hibiscuslb/hibiscusload/internal/control"
	"hibiscuslb/hibiscusload/internal/demo"
	"hibiscuslb/hibiscusload/internal/experiment"
	"hibiscuslb/hibiscusload/internal/report"
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
	run                     experiment.Experiment
	model, workspace        string
	platform, events        string
	folder                  string
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
	run := o.runCommand()
	parser.AttachSubcommand(run, 1)
	book := o.ordersCommand()
	parser.AttachSubcommand(book, 1)
	table := flaggy.NewSubcommand("report")
	table.Description = "show all runs of a folder as a table and as plots"
	table.String(&o.folder, "f", "folder", "folder of the runs")
	parser.AttachSubcommand(table, 1)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if show.Used {
		return o.demo(ctx, out)
	}
	if cost.Used {
		return o.control(ctx, out)
	}
	if run.Used {
		return o.experiment(ctx)
	}
	if book.Used {
		return o.orders(ctx, out)
	}
	if table.Used {
		return o.report(out)
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
		Duration: o.time, Changes: o.changes, Label: o.label, Out: out,
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

func (o *options) runCommand() *flaggy.Subcommand {
	o.folder = "out/bench"
	o.run = experiment.Experiment{
		Name: "run", Route: "Fleet", Deployment: "Kandyan", Key: "clerks-key",
		Conversations: 60, Requests: 600, Rate: 10, Seed: 1,
	}
	o.model, o.workspace = "answer", "clerks"
	sub := flaggy.NewSubcommand("run")
	sub.Description = "send a workload through a fleet or a baseline and measure"
	sub.String(&o.run.Name, "", "name", "name of the run")
	sub.String(&o.run.Route, "", "route", "Fleet, Random or Hash")
	sub.String(&o.run.Deployment, "", "deployment", "Kandyan or Kypseli")
	sub.String(&o.run.Key, "", "caller-key", "key of the workspace")
	sub.String(&o.model, "", "model", "model that is asked")
	sub.String(&o.workspace, "", "workspace", "workspace that asks")
	sub.String(&o.platform, "", "platform", "address of the platform, for its faults")
	sub.String(&o.events, "", "events", "what is brought about, such as \"0.3 out negombo, 0.6 back negombo\"")
	sub.String(&o.folder, "f", "folder", "folder for the result")
	sub.Int(&o.run.Conversations, "", "conversations", "conversations that return")
	sub.Int(&o.run.Requests, "", "requests", "requests in all")
	sub.Float64(&o.run.Rate, "", "rate", "requests per second")
	sub.UInt64(&o.run.Seed, "", "seed", "seed of all that is random")
	return sub
}

func (o *options) experiment(ctx context.Context) error {
	events, err := experiment.ParseEvents(o.events)
	if err != nil {
		return err
	}
	e := &o.run
	e.Events = events
	e.Model, e.Workspace = fleet.ModelID(o.model), fleet.WorkspaceID(o.workspace)
	e.EntryHosts, e.Targets, e.Platform = addresses(o.entries), o.targets(), fleet.Address(o.platform)
	e.Operator = operator.Client{Hosts: addresses(o.operators), Key: o.key}
	e.Progress = os.Stderr
	result, err := e.Run(ctx)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.folder, 0o755); err != nil {
		return err
	}
	return result.Save(o.folder)
}

func (o *options) ordersCommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("orders")
	sub.Description = "send orders that may not repeat and count the platform's writes"
	sub.Int(&o.run.Requests, "", "requests", "orders in all")
	sub.Float64(&o.run.Rate, "", "rate", "orders per second")
	sub.UInt64(&o.run.Seed, "", "seed", "seed of the arrivals")
	sub.String(&o.platform, "", "platform", "address of the platform, for its counts")
	return sub
}

func (o *options) orders(ctx context.Context, out io.Writer) error {
	m := &experiment.OrderExperiment{
		Client:   &caller.Client{EntryHosts: addresses(o.entries), Key: o.run.Key},
		Platform: fleet.Address(o.platform), Targets: o.targets(),
		Requests: o.run.Requests, Rate: o.run.Rate, Seed: o.run.Seed, Out: out,
	}
	return m.Run(ctx)
}

func (o *options) report(out io.Writer) error {
	runs, err := report.Load(o.folder)
	if err != nil {
		return err
	}
	if err := report.Table(out, runs); err != nil {
		return err
	}
	return report.Plot(o.folder, runs)
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
		EntryHosts: addresses(o.entries),
		Operator:   operator.Client{Hosts: addresses(o.operators), Key: o.key},
		Targets:    o.targets(), StopPID: o.stopPID, Out: out,
	}
	return d.Run(ctx)
}
