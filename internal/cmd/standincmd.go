package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/standin"
)

const crashExitStatus = 3

// newStandinCommand returns the command that runs one backend server stand-in.
func newStandinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a small backend server for tests",
		Description: "Runs a backend server with slots, service times, a cold start and a drain, announced to its daemon.\n" +
			"Example: sapphirespread standin --service booking --listen 127.0.0.1:9000 --daemon 127.0.0.1:7002 --slots 20 --work 15ms --call 'payment GET /payment/check'",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "`name` of the service that it runs", Required: true},
			&cli.StringFlag{Name: "name", Usage: "`name` of the target (default: the service with -1)"},
			&cli.StringFlag{Name: "listen", Usage: "`address` to listen at", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "daemon", Usage: "`address` of its daemon's listener for sub-calls"},
			&cli.IntFlag{Name: "slots", Usage: "`requests` held before all slow down", Value: 50},
			&cli.IntFlag{Name: "connections", Usage: "`requests` held before it sheds load itself", Value: 400},
			&cli.DurationFlag{Name: "work", Usage: "mean service `time`", Value: 20 * time.Millisecond},
			&cli.StringFlag{Name: "distribution", Usage: "constant, exponential or lognormal", Value: string(standin.Lognormal)},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the service times", Value: 1},
			&cli.DurationFlag{Name: "cold-start", Usage: "`time` for which it is slow at first"},
			&cli.FloatFlag{Name: "cold-factor", Usage: "how many times as long work takes at the start", Value: 5},
			&cli.DurationFlag{Name: "drain", Usage: "`time` for which it announces that it drains", Value: 2 * time.Second},
			&cli.IntFlag{Name: "padding", Usage: "`bytes` added to each answer"},
			&cli.StringSliceFlag{Name: "call", Usage: "sub-call made for each request, as 'service METHOD /path'; may be repeated"},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, command *cli.Command) error {
	opts, err := standinOptions(command)
	if err != nil {
		return cli.Exit(err.Error(), 2)
	}
	server := standin.New(command.String("service"), opts...)
	if err := server.Listen(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(command.Root().Writer, "standin: %s listens at %s\n", command.String("service"), server.Address())
	return server.Run(ctx)
}

func standinOptions(command *cli.Command) ([]standin.ServerOption, error) {
	distribution, err := standin.ParseDistribution(command.String("distribution"))
	if err != nil {
		return nil, err
	}
	listen, err := netip.ParseAddrPort(command.String("listen"))
	if err != nil {
		return nil, errorx.Decorate(err, "--listen: want an address such as 127.0.0.1:9000")
	}
	if command.Int("slots") < 1 || command.Int("connections") < 1 {
		return nil, errorx.IllegalArgument.New("--slots and --connections: want at least 1")
	}
	opts := []standin.ServerOption{
		standin.WithListen(listen),
		standin.WithSlots(command.Int("slots")),
		standin.WithMaxInFlight(command.Int("connections")),
		standin.WithWork(command.Duration("work"), distribution),
		standin.WithSeed(command.Uint64("seed")),
		standin.WithColdStart(command.Duration("cold-start"), command.Float("cold-factor")),
		standin.WithDrain(command.Duration("drain")),
		standin.WithResponsePadding(command.Int("padding")),
		standin.WithCrash(func() { os.Exit(crashExitStatus) }),
		standin.WithLogger(zerolog.New(os.Stderr).With().Timestamp().Logger()),
	}
	if name := command.String("name"); name != "" {
		opts = append(opts, standin.WithName(name))
	}
	return withDaemonOptions(command, opts)
}

// withDaemonOptions appends the options for the daemon and for the nested calls that go through it.
func withDaemonOptions(command *cli.Command, opts []standin.ServerOption) ([]standin.ServerOption, error) {
	calls, err := parseCalls(command.StringSlice("call"))
	if err != nil {
		return nil, err
	}
	if command.String("daemon") == "" {
		if len(calls) > 0 {
			return nil, errorx.IllegalArgument.New("--call: sub-calls go through a daemon, want --daemon too")
		}
		return opts, nil
	}
	daemon, err := netip.ParseAddrPort(command.String("daemon"))
	if err != nil {
		return nil, errorx.Decorate(err, "--daemon: want an address such as 127.0.0.1:7002")
	}
	caller := standin.NewDaemonCaller(daemon)
	return append(opts, standin.WithDaemon(daemon), standin.WithCalls(caller, calls...)), nil
}

func parseCalls(texts []string) ([]standin.NestedCall, error) {
	var calls []standin.NestedCall
	for _, text := range texts {
		fields := strings.Fields(text)
		if len(fields) != 3 || !strings.HasPrefix(fields[2], "/") {
			return nil, errorx.IllegalArgument.New("--call %q: want 'service METHOD /path'", text)
		}
		calls = append(calls, standin.NestedCall{Service: fields[0], Method: fields[1], Path: fields[2]})
	}
	return calls, nil
}
