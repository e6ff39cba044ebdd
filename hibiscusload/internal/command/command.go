// Package command is the command line of hibiscusload. Its commands are demo, control,
// run, orders and report.
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
	"hibiscuslb/hibiscusload/internal/standins"
)

// options holds the values of the flags of all commands. flaggy sets them while it
// parses the command line.
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

// Run parses the command line and executes the command that it names.
func Run(ctx context.Context, args []string, out io.Writer) error {
	var o options
	parser := flaggy.NewParser("hibiscusload")
	parser.Description = "load generator and experiments for a hibiscuslb fleet"
	parser.String(&o.entries, "", "entries", "addresses at which hosts serve callers, separated by commas")
	parser.String(&o.operators, "", "operators", "addresses at which hosts serve operators, separated by commas")
	parser.String(&o.key, "", "key", "operators' key")
	parser.String(&o.engines, "", "engines", "addresses of the engines, separated by commas")
	parser.String(&o.stores, "", "stores", "addresses of the stores, separated by commas")
	parser.String(&o.service, "", "service", "address of the plain service")
	parser.String(&o.weights, "", "weights", "address of the weight store")
	demoCommand := flaggy.NewSubcommand("demo")
	demoCommand.Description = "send requests through all parts of a fleet and check answers and counters"
	demoCommand.Int(&o.stopPID, "", "stop-pid", "process id of hibiscusd on host-3, which the demo shuts down")
	parser.AttachSubcommand(demoCommand, 1)
	controlCommand := o.controlCommand()
	parser.AttachSubcommand(controlCommand, 1)
	runCommand := o.runCommand()
	parser.AttachSubcommand(runCommand, 1)
	ordersCommand := o.ordersCommand()
	parser.AttachSubcommand(ordersCommand, 1)
	reportCommand := flaggy.NewSubcommand("report")
	reportCommand.Description = "print a table of all runs in a folder and plot them"
	reportCommand.String(&o.folder, "f", "folder", "folder of the runs")
	parser.AttachSubcommand(reportCommand, 1)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if demoCommand.Used {
		return o.demo(ctx, out)
	}
	if controlCommand.Used {
		return o.control(ctx, out)
	}
	if runCommand.Used {
		return o.experiment(ctx)
	}
	if ordersCommand.Used {
		return o.orders(ctx, out)
	}
	if reportCommand.Used {
		return o.report(out)
	}
	parser.ShowHelp()
	return errors.New("no command given; want demo, control, run, orders or report")
}

func (o *options) controlCommand() *flaggy.Subcommand {
	o.time, o.changes = 30*time.Second, 10
	sub := flaggy.NewSubcommand("control")
	sub.Description = "measure the control-plane cost of idle hosts"
	sub.String(&o.pids, "", "pids", "process ids of hibiscusd on the hosts, in the order of --operators")
	sub.String(&o.label, "", "label", "label of the printed row")
	sub.Duration(&o.time, "", "time", "how long to measure")
	sub.Int(&o.changes, "", "changes", "number of changes of the declaration to make and time")
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
			return fmt.Errorf("--pids: want process ids separated by commas: %w", err)
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
	sub.Description = "measure a workload on a fleet or on a baseline without one"
	sub.String(&o.run.Name, "", "name", "name of the run")
	sub.String(&o.run.Route, "", "route", "Fleet, or one of the baselines Random and Hash")
	sub.String(&o.run.Deployment, "", "deployment", "deployment whose workload is sent: Kandyan or Kypseli")
	sub.String(&o.run.Key, "", "caller-key", "caller key of the workspace")
	sub.String(&o.model, "", "model", "model that requests name")
	sub.String(&o.workspace, "", "workspace", "workspace of the requests, for the report")
	sub.String(&o.platform, "", "platform", "address of the platform, for events that set its faults")
	sub.String(&o.events, "", "events", "events during the run, each a share of the requests, a verb and an object, such as \"0.3 out negombo, 0.6 back negombo\"")
	sub.String(&o.folder, "f", "folder", "folder for the result")
	sub.Int(&o.run.Conversations, "", "conversations", "number of conversations")
	sub.Int(&o.run.Requests, "", "requests", "number of requests")
	sub.Float64(&o.run.Rate, "", "rate", "requests per second")
	sub.UInt64(&o.run.Seed, "", "seed", "seed of the workload and the arrivals")
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
	e.EntryHosts, e.Standins, e.Platform = addresses(o.entries), o.standins(), fleet.Address(o.platform)
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
	sub.Description = "measure the platform's reads and writes for non-repeatable orders"
	sub.Int(&o.run.Requests, "", "requests", "number of orders")
	sub.Float64(&o.run.Rate, "", "rate", "orders per second")
	sub.UInt64(&o.run.Seed, "", "seed", "seed of the arrivals")
	sub.String(&o.platform, "", "platform", "address of the platform, for its counters")
	return sub
}

func (o *options) orders(ctx context.Context, out io.Writer) error {
	m := &experiment.OrderExperiment{
		Client:   &caller.Client{EntryHosts: addresses(o.entries), Key: o.run.Key},
		Platform: fleet.Address(o.platform), Standins: o.standins(),
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

// addresses splits a list of addresses at commas and skips empty items.
func addresses(text string) []fleet.Address {
	var list []fleet.Address
	for address := range strings.SplitSeq(text, ",") {
		if address != "" {
			list = append(list, fleet.Address(address))
		}
	}
	return list
}

func (o *options) standins() standins.Set {
	return standins.Set{
		Engines: addresses(o.engines), Stores: addresses(o.stores),
		Service: fleet.Address(o.service), Weights: fleet.Address(o.weights),
	}
}

func (o *options) demo(ctx context.Context, out io.Writer) error {
	d := &demo.Demo{
		EntryHosts: addresses(o.entries),
		Operator:   operator.Client{Hosts: addresses(o.operators), Key: o.key},
		Standins:   o.standins(), StopPID: o.stopPID, Out: out,
	}
	return d.Run(ctx)
}
