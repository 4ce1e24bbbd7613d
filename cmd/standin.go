package cmd

import (
	"context"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/standin"

	"github.com/urfave/cli/v3"
)

const (
	flagListen      = "listen"
	flagMemory      = "memory"
	flagSlots       = "slots"
	flagTokenTime   = "token-time"
	flagLoadTime    = "load-time"
	flagUnloadTime  = "unload-time"
	flagAdapterTime = "adapter-time"
	flagReportLag   = "report-lag"
	flagFencing     = "check-fencing"
	flagWeightStore = "weight-store"
	flagCallTime    = "call-time"
	flagLoadRate    = "load-rate"
	flagLoadBurst   = "load-burst"
	flagFullSpeed   = "full-speed-loads"
	flagLoadSpeed   = "load-speed"
	flagListLag     = "list-lag"
	flagVM          = "vm"
	standinName     = "standin"
	anyLoopbackPort = "127.0.0.1:0"
)

func standinCommand() *cli.Command {
	return group(&cli.Command{
		Name:  standinName,
		Usage: "run a stand-in for an external system, for testing",
		Commands: []*cli.Command{
			standinEngine(), standinService(), standinStore(), standinPlatform(),
		},
	})
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: flagListen, Value: anyLoopbackPort, Usage: "`HOST:PORT` to listen on; port 0 selects a free port"}
}

func standinEngine() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a stand-in for a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.Uint64Flag{Name: flagMemory, Value: 80_000, Usage: "accelerator memory in `MB`"},
			&cli.IntFlag{Name: flagSlots, Value: 16, Usage: "requests that generate concurrently"},
			&cli.DurationFlag{Name: flagTokenTime, Value: 20 * time.Millisecond, Usage: "time between two tokens"},
			&cli.DurationFlag{Name: flagLoadTime, Value: 2 * time.Second, Usage: "time to load a model from the remote store; a quarter of it from disk, a twentieth from memory"},
			&cli.DurationFlag{Name: flagUnloadTime, Value: 100 * time.Millisecond, Usage: "time to unload a model"},
			&cli.DurationFlag{Name: flagAdapterTime, Value: 6 * time.Millisecond, Usage: "time to load an adapter"},
			&cli.DurationFlag{Name: flagReportLag, Value: 500 * time.Millisecond, Usage: "delay of the load report"},
			&cli.BoolFlag{Name: flagFencing, Usage: "reject orders with an outdated fencing token"},
			&cli.StringFlag{Name: flagWeightStore, Usage: "`URL` of the weight store; none by default"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			engine := standin.NewEngine(context.WithoutCancel(ctx), engineOptions(c)...)
			return serve(ctx, c, httpService{handler: engine, connContext: engine.ConnContext, close: engine.Close})
		},
	}
}

func engineOptions(c *cli.Command) []standin.EngineOption {
	load, adapter := c.Duration(flagLoadTime), c.Duration(flagAdapterTime)
	options := []standin.EngineOption{
		standin.Memory(c.Uint64(flagMemory)),
		standin.Slots(c.Int(flagSlots)),
		standin.TokenTime(c.Duration(flagTokenTime)),
		standin.LoadTime(standin.LoadTimes(load)),
		standin.UnloadTime(c.Duration(flagUnloadTime)),
		standin.AdapterTime(func(engineapi.Order) time.Duration { return adapter }),
		standin.ReportLag(c.Duration(flagReportLag)),
		standin.CheckFencing(c.Bool(flagFencing)),
	}
	if url := c.String(flagWeightStore); url != "" {
		options = append(options, standin.WeightStore(url, newHTTPClient()))
	}
	return options
}

func standinService() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a stand-in for a plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: flagCallTime, Value: 50 * time.Millisecond, Usage: "duration of a call"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			plain := standin.NewService(context.WithoutCancel(ctx), standin.CallTime(c.Duration(flagCallTime)))
			return serve(ctx, c, httpService{handler: plain, connContext: plain.ConnContext, close: plain.Close})
		},
	}
}

func standinStore() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a stand-in for the weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: flagLoadRate, Value: 5, Usage: "loads that may start per second"},
			&cli.IntFlag{Name: flagLoadBurst, Value: 4, Usage: "loads that may start at once"},
			&cli.IntFlag{Name: flagFullSpeed, Value: 4, Usage: "concurrent loads that run at full speed"},
			&cli.FloatFlag{Name: flagLoadSpeed, Value: 2_000, Usage: "full speed of one load in `MB` per second"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := standin.NewStore(context.WithoutCancel(ctx),
				standin.LoadRate(c.Float(flagLoadRate), c.Int(flagLoadBurst)),
				standin.FullSpeedLoads(c.Int(flagFullSpeed)),
				standin.LoadSpeed(c.Float(flagLoadSpeed)))
			return serve(ctx, c, httpService{handler: store, connContext: store.ConnContext, close: store.Close})
		},
	}
}

func standinPlatform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform's list of VMs",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: flagListLag, Value: 2 * time.Second, Usage: "delay of the list"},
			&cli.StringSliceFlag{Name: flagVM, Usage: "`NAME` of a VM that is listed initially; may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			platform := standin.NewPlatform(context.WithoutCancel(ctx),
				standin.ListLag(c.Duration(flagListLag)), standin.ListedVMs(c.StringSlice(flagVM)...))
			return serve(ctx, c, httpService{handler: platform, connContext: platform.ConnContext, close: platform.Close})
		},
	}
}
