package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// failedError marks an error of a command that was used rightly; a nil cause was told already.
type failedError struct{ cause error }

func (e *failedError) Error() string {
	if e.cause == nil {
		return "failed"
	}
	return e.cause.Error()
}

func (e *failedError) Unwrap() error { return e.cause }

// usageError marks an error of a command that was used wrongly.
type usageError struct{ error }

// told returns an action whose errors are failures, but for those that tell an exit status themselves.
func told(run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		err := run(ctx, c)
		switch err.(type) {
		case nil, usageError, *failedError, cli.ExitCoder:
			return err
		}
		return &failedError{err}
	}
}
