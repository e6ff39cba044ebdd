// Package command implements the command line of the stand-ins.
package command

import (
	"context"
	"errors"
	"time"

	"github.com/integrii/flaggy"

	"hibiscuslb/fleet"
	"hibiscuslb/standin/fakeplatform"
	"hibiscuslb/standin/internal/web"
	"hibiscuslb/standin/link"
	"hibiscuslb/standin/modelengine"
	"hibiscuslb/standin/plainservice"
	"hibiscuslb/standin/storehost"
	"hibiscuslb/standin/weightstore"
)

// options holds the values of the command-line flags.
type options struct {
	listen, target, admin string
	model, version        string
	weightStore           string
	incarnation           uint64
	prefillRate           int64
	pieceInterval         time.Duration
	callTime              time.Duration
	coldTime              time.Duration
	reportLag             time.Duration
	delay, latency        time.Duration
	cacheBlocks           int
	coldCapacity          int
	eventLossInterval     int
	checkFence            bool
	blockLength           int64
	memory, disk          int64
	linkRate, diskRate    int64
}

// Run parses the command line and runs the stand-in that it names until the context
// is done.
func Run(ctx context.Context) error {
	o := options{
		listen: "127.0.0.1:0", model: "answer", version: "v1", incarnation: uint64(time.Now().UnixMilli()),
		prefillRate: 40_000, pieceInterval: 5 * time.Millisecond, callTime: 2 * time.Millisecond,
		coldTime: 2 * time.Second, reportLag: 500 * time.Millisecond,
		cacheBlocks: 64, coldCapacity: 2, eventLossInterval: 7, blockLength: 64 << 20,
		memory: 4 << 30, disk: 16 << 30, linkRate: 4 << 30, diskRate: 1 << 30,
	}
	parser := flaggy.NewParser("standin")
	parser.Description = "stand-ins for the external systems that hibiscuslb uses"
	platform := o.platformCommand()
	engine := o.engineCommand()
	store := o.storeCommand()
	service := o.serviceCommand()
	weightStore := o.weightsCommand()
	proxy := o.linkCommand()
	for _, sub := range []*flaggy.Subcommand{platform, engine, store, service, weightStore, proxy} {
		sub.String(&o.listen, "l", "listen", "address to listen at")
		parser.AttachSubcommand(sub, 1)
	}
	if err := parser.Parse(); err != nil {
		return err
	}
	address := fleet.Address(o.listen)
	switch {
	case platform.Used:
		return web.Serve(ctx, address, (&fakeplatform.Store{Latency: o.latency}).Handler())
	case engine.Used:
		return web.Serve(ctx, address, modelengine.New(o.engineConfig()).Handler())
	case store.Used:
		return web.Serve(ctx, address, storehost.New(o.storeConfig()).Handler())
	case service.Used:
		config := plainservice.Config{CallTime: o.callTime, ColdCapacity: o.coldCapacity, ColdTime: o.coldTime}
		return web.Serve(ctx, address, plainservice.New(config).Handler())
	case weightStore.Used:
		return web.Serve(ctx, address, (&weightstore.Store{LoadTime: 200 * time.Millisecond, FullSpeedLoads: 3}).Handler())
	case proxy.Used:
		return o.runLink(ctx)
	default:
		return errors.New("no subcommand given: want platform, engine, store, service, weights or link")
	}
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func (o *options) platformCommand() *flaggy.Subcommand {
	sub := newSubcommand("platform", "the object store of the platform")
	sub.Duration(&o.latency, "", "latency", "latency of reads and writes")
	return sub
}

func (o *options) engineCommand() *flaggy.Subcommand {
	sub := newSubcommand("engine", "a model engine")
	sub.String(&o.model, "m", "model", "model that the engine serves")
	sub.String(&o.version, "v", "weights", "weight version that the engine starts with")
	sub.String(&o.weightStore, "", "weight-store", "address of the weight store")
	sub.UInt64(&o.incarnation, "", "incarnation", "incarnation number, which must differ between starts")
	sub.Int64(&o.prefillRate, "", "prefill", "prompt tokens per second")
	sub.Duration(&o.pieceInterval, "", "piece", "time between two pieces of an answer")
	sub.Int(&o.cacheBlocks, "", "cache", "capacity of the cache in blocks")
	sub.Int64(&o.blockLength, "", "block", "nominal length of an exported block in bytes")
	sub.Duration(&o.reportLag, "", "lag", "maximum age of reports")
	sub.Int(&o.eventLossInterval, "", "gap", "every cache event whose number is a multiple of this is lost; 0 loses none")
	sub.Bool(&o.checkFence, "", "check-fence", "refuse requests and commands with an outdated fencing token")
	o.coldFlags(sub)
	return sub
}

func (o *options) coldFlags(sub *flaggy.Subcommand) {
	sub.Int(&o.coldCapacity, "", "cold", "concurrent requests that the target can run while cold")
	sub.Duration(&o.coldTime, "", "cold-time", "how long the target is cold after its start")
}

func (o *options) engineConfig() modelengine.Config {
	return modelengine.Config{
		Model: fleet.ModelID(o.model), Version: fleet.WeightVersion(o.version),
		Incarnation: fleet.Incarnation(o.incarnation), PrefillRate: fleet.TokenRate(o.prefillRate),
		PieceInterval: o.pieceInterval, CacheBlocks: o.cacheBlocks, BlockLength: fleet.Bytes(o.blockLength),
		ColdCapacity: o.coldCapacity, ColdTime: o.coldTime, ReportLag: o.reportLag, EventLossInterval: o.eventLossInterval,
		CheckFence: o.checkFence, WeightStore: fleet.Address(o.weightStore),
	}
}

func (o *options) storeCommand() *flaggy.Subcommand {
	sub := newSubcommand("store", "a store host for cache blocks")
	sub.UInt64(&o.incarnation, "", "incarnation", "incarnation number, which must differ between starts")
	sub.Int64(&o.memory, "", "memory", "capacity of the memory in bytes")
	sub.Int64(&o.disk, "", "disk", "capacity of the disk in bytes")
	sub.Int64(&o.linkRate, "", "link", "transfer rate of the link in bytes per second")
	sub.Int64(&o.diskRate, "", "disk-rate", "transfer rate of the disk in bytes per second")
	return sub
}

func (o *options) storeConfig() storehost.Config {
	return storehost.Config{
		Incarnation: fleet.Incarnation(o.incarnation), Memory: fleet.Bytes(o.memory), Disk: fleet.Bytes(o.disk),
		LinkRate: fleet.ByteRate(o.linkRate), DiskRate: fleet.ByteRate(o.diskRate),
	}
}

func (o *options) serviceCommand() *flaggy.Subcommand {
	sub := newSubcommand("service", "a plain service")
	sub.Duration(&o.callTime, "", "call", "how long a call takes")
	o.coldFlags(sub)
	return sub
}

func (o *options) weightsCommand() *flaggy.Subcommand {
	return newSubcommand("weights", "the rate-limited store of weights")
}

func (o *options) linkCommand() *flaggy.Subcommand {
	sub := newSubcommand("link", "a TCP proxy that can close connections, delay data or drop it")
	sub.String(&o.target, "t", "target", "address to forward connections to")
	sub.String(&o.admin, "a", "admin", "address of the admin interface")
	sub.Duration(&o.delay, "", "delay", "delay of data before it is forwarded")
	return sub
}

func (o *options) runLink(ctx context.Context) error {
	proxy := &link.Proxy{Listen: fleet.Address(o.listen), Target: fleet.Address(o.target), Delay: o.delay}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- proxy.Run(ctx) }()
	err := web.Serve(ctx, fleet.Address(o.admin), proxy.Admin())
	cancel()
	return errors.Join(err, <-ended)
}
