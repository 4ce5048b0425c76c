package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// executionError marks an error in the execution of a correctly used command. A nil cause has been printed already.
type executionError struct{ cause error }

func (e *executionError) Error() string {
	if e.cause == nil {
		return "failed"
	}
	return e.cause.Error()
}

func (e *executionError) Unwrap() error { return e.cause }

// usageError marks an incorrect use of a command.
type usageError struct{ error }

// withExecutionErrors returns an action that wraps errors in executionError, except those with an exit status of their
// own.
func withExecutionErrors(run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		err := run(ctx, c)
		switch err.(type) {
		case nil, usageError, *executionError, cli.ExitCoder:
			return err
		}
		return &executionError{err}
	}
}
