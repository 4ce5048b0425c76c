package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
	"sapphirespread.example/key"
)

func newKeyCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:     "key",
		Usage:    "create and withdraw the keys of callers",
		Commands: []*cli.Command{newKeyCreateCommand(a), newKeyWithdrawCommand(a)},
	}
}

func newKeyCreateCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "create",
		Usage:     "create a key and show its secret once",
		ArgsUsage: "NAME",
		Description: "Writes the key object, which holds the hash of the secret only, to the output or to a file of a folder.\n" +
			"The key works once the folder is published.\n\n" +
			"Example:\n   sapphirespread key create --workspace oslo --into objects oslo-2026",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace that the key acts for", Required: true},
			&cli.StringFlag{Name: "into", Usage: "write the object to a new file key-NAME.toml in `FOLDER`"},
			outputFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			args, err := arguments(c, 1, 1)
			if err != nil {
				return err
			}
			return a.createKey(c, args[0])
		},
	}
}

// createdKey is the JSON output of the key create command.
type createdKey struct {
	Secret string            `json:"secret"`
	Key    configuration.Key `json:"key"`
	File   string            `json:"file,omitempty"`
}

func (a *app) createKey(c *cli.Command, name string) error {
	if !configuration.ValidName(name) {
		return usageError{fmt.Errorf("the name %q is not in kebab case", name)}
	}
	secret, hash, err := key.Create(a.random)
	if err != nil {
		return err
	}
	created := createdKey{
		Secret: secret,
		Key:    configuration.Key{Name: name, Workspace: c.String("workspace"), Hash: hash},
	}
	var text strings.Builder
	if err := (configuration.Set{Keys: []configuration.Key{created.Key}}).Write(&text); err != nil {
		return err
	}
	if folder := c.String("into"); folder != "" {
		created.File = filepath.Join(folder, "key-"+name+".toml")
		if err := writeNewFile(created.File, text.String()); err != nil {
			return err
		}
	}
	return a.print(c, created, func(w io.Writer) error {
		if created.File != "" {
			_, err := fmt.Fprintf(w, "secret, shown only now: %s\nkey object: %s\n", secret, created.File)
			return err
		}
		_, err := fmt.Fprintf(w, "# secret, shown only now: %s\n%s", secret, text.String())
		return err
	})
}

// writeNewFile creates a file, or returns an error if it exists.
func writeNewFile(name, text string) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return fmt.Errorf("writing the key object: %w", err)
	}
	if _, err := file.WriteString(text); err != nil {
		file.Close()
		return fmt.Errorf("writing the key object: %w", err)
	}
	return file.Close()
}
