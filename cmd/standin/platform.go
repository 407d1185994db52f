package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"geraniumline/faker"
	"geraniumline/platformserver"
)

func logCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "the append-only log service",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "appends-per-second", Value: 500, Usage: "limit over all streams"},
			&cli.IntFlag{Name: "append-burst", Usage: "appends at one moment; 0 takes a tenth of the limit"},
			&cli.IntFlag{Name: "keep-records", Value: 100_000, Usage: "records kept by each stream"},
			&cli.Int64Flag{Name: "keep-bytes", Value: 64 << 20, Usage: "bytes kept by each stream"},
			&cli.DurationFlag{Name: "keep-for", Usage: "age of the oldest record kept; 0 for no bound"},
			&cli.FloatFlag{Name: "hole-rate", Usage: "share of appends before which offsets are left out"},
			seedFlag(),
		},
		Action: runLog,
	}
}

func runLog(ctx context.Context, cmd *cli.Command) error {
	cfg := faker.LogConfig{
		AppendsPerSecond: cmd.Float("appends-per-second"),
		AppendBurst:      cmd.Int("append-burst"),
		KeepRecords:      cmd.Int("keep-records"),
		KeepFor:          cmd.Duration("keep-for"),
		KeepBytes:        cmd.Int64("keep-bytes"),
		HoleRate:         cmd.Float("hole-rate"),
		Seed:             cmd.Uint64("seed"),
	}
	if err := checkFlags(cmd, cfg.Check()); err != nil {
		return err
	}
	l := faker.NewLog(cfg)
	return serve(ctx, cmd, faker.ServeConfig{Handler: l.Handler(), Close: l.Close})
}

func vmsCommand() *cli.Command {
	return &cli.Command{
		Name:  "vms",
		Usage: "the lagging list of VMs",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "lag", Value: defaultVMLag, Usage: "how long a change stays unseen"},
			&cli.StringSliceFlag{Name: "vm", Usage: "host:port,zone,pool or host:port,zone,pool,leaving; may be repeated"},
		},
		// A comma separates fields of one VM, not two VMs.
		DisableSliceFlagSeparator: true,
		Action:                    runVMs,
	}
}

func runVMs(ctx context.Context, cmd *cli.Command) error {
	vms, err := parseVMs(cmd.StringSlice("vm"))
	if err != nil {
		return &usageError{err}
	}
	cfg := faker.VMsConfig{Lag: cmd.Duration("lag"), VMs: vms}
	if err := checkFlags(cmd, cfg.Check()); err != nil {
		return err
	}
	return serve(ctx, cmd, faker.ServeConfig{Handler: faker.NewVMs(cfg).Handler()})
}

func parseVMs(args []string) ([]platformserver.VM, error) {
	vms := make([]platformserver.VM, 0, len(args))
	for _, arg := range args {
		fields := strings.Split(arg, ",")
		if len(fields) == 3 {
			fields = append(fields, string(platformserver.VMStateLive))
		}
		if len(fields) != 4 {
			return nil, fmt.Errorf("vm %q: want host:port,zone,pool or host:port,zone,pool,state", arg)
		}
		vms = append(vms, platformserver.VM{
			Address: fields[0],
			Zone:    fields[1],
			Pool:    fields[2],
			State:   platformserver.VMState(fields[3]),
		})
	}
	return vms, nil
}

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "the rate-limited weight store",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "loads-per-second", Value: 2, Usage: "limit of loads that begin"},
			&cli.IntFlag{Name: "burst", Value: 2, Usage: "loads that may begin at one moment"},
			&cli.DurationFlag{Name: "transfer-time", Value: defaultTransferTime, Usage: "duration of one load"},
			&cli.Int64Flag{Name: "bytes", Value: 1 << 30, Usage: "size reported for each model"},
		},
		Action: runWeights,
	}
}

func runWeights(ctx context.Context, cmd *cli.Command) error {
	cfg := faker.WeightsConfig{
		LoadsPerSecond: cmd.Float("loads-per-second"),
		Burst:          cmd.Int("burst"),
		TransferTime:   cmd.Duration("transfer-time"),
		Bytes:          cmd.Int64("bytes"),
	}
	if err := checkFlags(cmd, cfg.Check()); err != nil {
		return err
	}
	return serve(ctx, cmd, faker.ServeConfig{Handler: faker.NewWeights(cfg).Handler()})
}
