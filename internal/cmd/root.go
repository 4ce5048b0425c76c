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

// The exit statuses of all commands.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// constructors makes the commands in the order in which help lists them.
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
	newMembersCommand,
	newStatusCommand,
	newDaemonCommand,
	newControlCommand,
	newPlatformCommand,
	newTimelineCommand,
	func(*app) *cli.Command { return standinCommand() },
	newDemoCommand,
	newMeasureCommand,
}

// Main runs the command that args name, without the name of the program, and returns the exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return New(stdout, stderr).Run(ctx, args)
}

// An Option changes how commands reach the world around them.
type Option func(*app)

// WithAPI sets how commands reach the control instances at the operators addresses.
func WithAPI(open func([]netip.AddrPort) operator.API) Option {
	return func(a *app) { a.open = open }
}

// WithProcess sets how commands reach the one process at an operators address.
func WithProcess(open func(netip.AddrPort) operator.Process) Option {
	return func(a *app) { a.openOne = open }
}

// WithRandom sets the source of secrets.
func WithRandom(random io.Reader) Option {
	return func(a *app) { a.random = random }
}

// app is what the commands share.
type app struct {
	stdout  io.Writer
	stderr  io.Writer
	random  io.Reader
	open    func([]netip.AddrPort) operator.API
	openOne func(netip.AddrPort) operator.Process
}

// An App runs commands.
type App struct{ app }

// New returns an App that writes to stdout and stderr.
func New(stdout, stderr io.Writer, opts ...Option) *App {
	a := &App{app{
		stdout: stdout,
		stderr: stderr,
		random: rand.Reader,
		open:   func(addresses []netip.AddrPort) operator.API { return operator.NewClient(addresses) },
		openOne: func(address netip.AddrPort) operator.Process {
			return operator.NewClient([]netip.AddrPort{address}, operator.WithPatience(0))
		},
	}}
	for _, opt := range opts {
		opt(&a.app)
	}
	return a
}

// Run runs the command that args name and returns the exit status: 0 done, 1 failed, 2 wrong use.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.root().Run(ctx, append([]string{"sapphirespread"}, args...))
	if err == nil {
		return exitDone
	}
	var failed *failedError
	if errors.As(err, &failed) {
		if failed.cause != nil {
			fmt.Fprintf(a.stderr, "sapphirespread: %v\n", failed.cause)
		}
		return exitFailed
	}
	fmt.Fprintf(a.stderr, "sapphirespread: %v\n", err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
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
		// The exit status is Run's to decide.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		HideVersion:    true,
		Suggest:        true,
	}
	for _, construct := range constructors {
		root.Commands = append(root.Commands, prepared(construct(&a.app)))
	}
	return root
}

// prepared sets on a command and all below it that wrong use is returned as an error.
func prepared(c *cli.Command) *cli.Command {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error { return unknownCommand(c) }
	}
	c.Action = told(c.Action)
	for _, sub := range c.Commands {
		prepared(sub)
	}
	return c
}

func unknownCommand(c *cli.Command) error {
	if c.Args().Present() {
		return usageError{fmt.Errorf("unknown command %q of %s; see %s --help", c.Args().First(), c.FullName(), c.FullName())}
	}
	return usageError{fmt.Errorf("a command is missing; see %s --help", c.FullName())}
}
