package cmd

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/operator"
)

// Exit statuses of all commands.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// constructors lists the constructors of the commands in the order of the help text.
var constructors = []func(*app) *cli.Command{
	newCheckCommand,
	newPublishCommand,
	newShowCommand,
	newDiffCommand,
	newHistoryCommand,
	newRollbackCommand,
	newKeyCommand,
	newTargetsCommand,
	newQuarantineCommand,
	newDomainsCommand,
	newMembersCommand,
	newStatusCommand,
	newDaemonCommand,
	newControlCommand,
	newPlatformCommand,
	newTimelineCommand,
	func(*app) *cli.Command { return newStandinCommand() },
	newDemoCommand,
	newMeasureCommand,
}

// Main runs the command given by args, without the program name, and returns the exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return New(stdout, stderr).Run(ctx, args)
}

// An Option replaces an external dependency of an App.
type Option func(*app)

// WithAPI sets the function that returns a client for the control instances at the given operators addresses.
func WithAPI(openAPI func([]netip.AddrPort) operator.API) Option {
	return func(a *app) { a.open = openAPI }
}

// WithProcess sets the function that returns a client for the process at an operators address.
func WithProcess(open func(netip.AddrPort) operator.Process) Option {
	return func(a *app) { a.openProcess = open }
}

// WithRandom sets the source of random bytes for secrets.
func WithRandom(random io.Reader) Option {
	return func(a *app) { a.random = random }
}

// app holds the dependencies of the commands.
type app struct {
	stdout      io.Writer
	stderr      io.Writer
	random      io.Reader
	open        func([]netip.AddrPort) operator.API
	openProcess func(netip.AddrPort) operator.Process
}

// An App runs the commands of sapphirespread.
type App struct{ app }

// New returns an App that writes to stdout and stderr.
func New(stdout, stderr io.Writer, opts ...Option) *App {
	a := &App{app{
		stdout: stdout,
		stderr: stderr,
		random: rand.Reader,
		open:   func(addresses []netip.AddrPort) operator.API { return operator.NewClient(addresses) },
		openProcess: func(address netip.AddrPort) operator.Process {
			return operator.NewClient([]netip.AddrPort{address}, operator.WithRetryTimeout(0))
		},
	}}
	for _, opt := range opts {
		opt(&a.app)
	}
	return a
}

// Run runs the command given by args and returns the exit status: 0 for success, 1 for failure, 2 for incorrect use.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.root().Run(ctx, append([]string{"sapphirespread"}, args...))
	if err == nil {
		return exitSuccess
	}
	var execErr *executionError
	if errors.As(err, &execErr) {
		if execErr.cause != nil {
			fmt.Fprintf(a.stderr, "sapphirespread: %v\n", execErr.cause)
		}
		return exitFailure
	}
	fmt.Fprintf(a.stderr, "sapphirespread: %v\n", err)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return exitUsage
}

func (a *App) root() *cli.Command {
	root := &cli.Command{
		Name:      "sapphirespread",
		Usage:     "keep service call graphs answering whole requests under overload",
		Writer:    a.stdout,
		ErrWriter: a.stderr,
		Action:    func(_ context.Context, c *cli.Command) error { return unknownCommand(c) },
		// Run determines the exit status.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		HideVersion:    true,
		Suggest:        true,
	}
	for _, construct := range constructors {
		root.Commands = append(root.Commands, prepareCommand(construct(&a.app)))
	}
	return root
}

// prepareCommand makes a command and its subcommands return usage errors, and wraps all other errors of their actions.
func prepareCommand(c *cli.Command) *cli.Command {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error { return unknownCommand(c) }
	}
	c.Action = withExecutionErrors(c.Action)
	for _, subcommand := range c.Commands {
		prepareCommand(subcommand)
	}
	return c
}

func unknownCommand(c *cli.Command) error {
	if c.Args().Present() {
		return usageError{fmt.Errorf("unknown command %q of %s; see %s --help", c.Args().First(), c.FullName(), c.FullName())}
	}
	return usageError{fmt.Errorf("a command is missing; see %s --help", c.FullName())}
}
