package cmd

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"sapphirespread.example/configuration"
)

const (
	revisionFile = ".revision"
	fileMode     = 0o644
	folderMode   = 0o755
)

// osFS reads files by any path, relative or absolute.
type osFS struct{}

// Open opens the file at a path of the operating system.
func (osFS) Open(name string) (fs.File, error) { return os.Open(name) }

// load reads and checks the set in the files and folders.
func load(paths []string) (configuration.Set, error) {
	cleaned := make([]string, len(paths))
	for i, path := range paths {
		cleaned[i] = filepath.ToSlash(filepath.Clean(path))
	}
	return configuration.Load(osFS{}, cleaned...)
}

// revisionPath returns the file that holds the revision which the set at path was taken from.
func revisionPath(path string) string {
	info, err := os.Stat(path)
	if err == nil && !info.IsDir() {
		path = filepath.Dir(path)
	}
	return filepath.Join(path, revisionFile)
}

// readRevision returns the revision that the set at path was taken from, 0 where none is noted.
func readRevision(path string) (uint64, error) {
	file := revisionPath(path)
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("reading the base revision: %w", err)
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("reading the base revision in %s: expected one whole number: %w", file, err)
	}
	return revision, nil
}

func writeRevision(path string, revision uint64) error {
	text := strconv.FormatUint(revision, 10) + "\n"
	if err := os.WriteFile(revisionPath(path), []byte(text), fileMode); err != nil {
		return fmt.Errorf("noting the base revision: %w", err)
	}
	return nil
}

// writeFolder writes a set into an empty or missing folder, one file a kind, and notes its revision.
func writeFolder(path string, set configuration.Set, revision uint64) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return fmt.Errorf("making the folder: %w", err)
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return fmt.Errorf("reading the folder: %w", err)
	}
	if len(entries) > 0 {
		return fmt.Errorf("the folder %s is not empty", path)
	}
	for _, kind := range configuration.Kinds() {
		if err := writeKind(path, kind, set.OfKind(kind)); err != nil {
			return err
		}
	}
	return writeRevision(path, revision)
}

func writeKind(path string, kind configuration.Kind, part configuration.Set) error {
	if len(part.Objects()) == 0 {
		return nil
	}
	var text strings.Builder
	if err := part.Write(&text); err != nil {
		return err
	}
	name := filepath.Join(path, string(kind)+".toml")
	if err := os.WriteFile(name, []byte(text.String()), fileMode); err != nil {
		return fmt.Errorf("writing the set: %w", err)
	}
	return nil
}
