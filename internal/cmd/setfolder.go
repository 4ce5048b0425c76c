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
	"sapphirespread.example/internal/configuration/lint"
)

const (
	baseRevisionFile = ".revision"
	fileMode         = 0o644
	folderMode       = 0o755
)

// osFS opens files by any path, relative or absolute.
type osFS struct{}

// Open opens the file at an operating system path.
func (osFS) Open(name string) (fs.File, error) { return os.Open(name) }

// loadSet reads and checks the set in files and folders.
func loadSet(paths []string) (configuration.Set, error) {
	return configuration.Load(osFS{}, cleanPaths(paths)...)
}

// lintSet is like loadSet, and also returns warnings about objects of a valid set that have no effect.
func lintSet(paths []string) (configuration.Set, configuration.Problems, error) {
	return configuration.LoadReviewed(osFS{}, lint.Check, cleanPaths(paths)...)
}

func cleanPaths(paths []string) []string {
	clean := make([]string, len(paths))
	for i, path := range paths {
		clean[i] = filepath.ToSlash(filepath.Clean(path))
	}
	return clean
}

// baseRevisionPath returns the path of the file that records the base revision of the set at path.
func baseRevisionPath(path string) string {
	info, err := os.Stat(path)
	if err == nil && !info.IsDir() {
		path = filepath.Dir(path)
	}
	return filepath.Join(path, baseRevisionFile)
}

// readBaseRevision returns the revision from which the set at path was taken, or 0 if none is recorded.
func readBaseRevision(path string) (uint64, error) {
	file := baseRevisionPath(path)
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

func writeBaseRevision(path string, revision uint64) error {
	text := strconv.FormatUint(revision, 10) + "\n"
	if err := os.WriteFile(baseRevisionPath(path), []byte(text), fileMode); err != nil {
		return fmt.Errorf("noting the base revision: %w", err)
	}
	return nil
}

// writeFolder writes a set into a new or empty folder, one file per kind, and records its revision.
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
	return writeBaseRevision(path, revision)
}

func writeKind(path string, kind configuration.Kind, set configuration.Set) error {
	if len(set.Objects()) == 0 {
		return nil
	}
	var text strings.Builder
	if err := set.Write(&text); err != nil {
		return err
	}
	name := filepath.Join(path, string(kind)+".toml")
	if err := os.WriteFile(name, []byte(text.String()), fileMode); err != nil {
		return fmt.Errorf("writing the set: %w", err)
	}
	return nil
}
