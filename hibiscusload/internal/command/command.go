// Package command is the command line of the load tool.
package command

import (
	"context"
	"errors"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/operator"
	"hibiscuslb/hibiscusload/internal/demo"
	"hibiscuslb/hibiscusload/internal/target"
)

// options are the values of the command line, as flaggy fills them.
type options struct {
	entries, operators, key string
	engines, stores         string
	service, weights        string
	stopPID                 int
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
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if show.Used {
		return o.demo(ctx, out)
	}
	parser.ShowHelp()
	return errors.New("name a command")
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
