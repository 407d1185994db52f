package main

import (
	"time"

	"github.com/urfave/cli/v3"

	"geraniumline/faker"
)

const (
	defaultVMLag        = time.Second
	defaultTransferTime = 300 * time.Millisecond
	defaultLoadLag      = 200 * time.Millisecond
	defaultSlots        = 8
	defaultMaxWaiting   = 256
)

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "feeds all that varies"}
}

// checkFlags returns a *usageError for an invalid setting, reported by err, or for an unexpected argument.
func checkFlags(cmd *cli.Command, err error) error {
	if err != nil {
		return &usageError{err}
	}
	return checkArgs(cmd)
}

func endpointFlags(name string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Value: name, Usage: "begins the ids of streams"},
		&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "calls that run at the same time"},
		&cli.IntFlag{Name: "max-waiting", Value: defaultMaxWaiting, Usage: "calls that may wait"},
		&cli.DurationFlag{Name: "load-lag", Value: defaultLoadLag, Usage: "age of load reports"},
		&cli.BoolFlag{Name: "ignore-fence", Usage: "run stage calls whatever their fence says"},
		seedFlag(),
	}
}

func endpointConfig(cmd *cli.Command) faker.EndpointConfig {
	return faker.EndpointConfig{
		Name:       cmd.String("name"),
		Slots:      cmd.Int("slots"),
		MaxWaiting: cmd.Int("max-waiting"),
		LoadLag:    cmd.Duration("load-lag"),
		Seed:       cmd.Uint64("seed"),
		Faults:     faker.Faults{IgnoreFence: cmd.Bool("ignore-fence")},
		OnCrash:    crash,
	}
}
