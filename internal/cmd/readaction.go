package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/operator"
)

// readAction returns the action of a command without arguments that reads a value from the API and prints it.
func readAction[T any](
	a *app, subject string, read func(operator.API, context.Context) (T, error), write func(io.Writer, T) error,
) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if _, err := arguments(c, 0, 0); err != nil {
			return err
		}
		api, err := a.api(c)
		if err != nil {
			return err
		}
		value, err := read(api, ctx)
		if err != nil {
			return fmt.Errorf("reading the %s: %w", subject, err)
		}
		return a.print(c, value, func(w io.Writer) error { return write(w, value) })
	}
}
