package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/settings"
)

// TestLoad runs the scripts in testdata. The commands "daemon" and "control" load the input as a settings file, and
// "file" only writes it to the same folder, whose path is written as $DIR.
func TestLoad(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		folder := t.TempDir()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			name := "settings.toml"
			if d.HasArg("path") {
				d.ScanArgs(t, "path", &name)
			}
			name = filepath.Join(folder, name)
			text := strings.ReplaceAll(d.Input, "$DIR", folder)
			if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			switch d.Cmd {
			case "daemon":
				s, err := settings.LoadDaemon(name)
				return strings.ReplaceAll(formatResult(s, err), folder, "$DIR")
			case "control":
				s, err := settings.LoadControl(name)
				return strings.ReplaceAll(formatResult(s, err), folder, "$DIR")
			}
			return ""
		})
	})
}

func formatResult[T any](loaded T, err error) string {
	if err != nil {
		return err.Error()
	}
	return strings.ReplaceAll(strings.Trim(fmt.Sprintf("%+v", loaded), "{}"), " ", "\n")
}

func TestMissingFileIsNamed(t *testing.T) {
	_, err := settings.LoadDaemon("none.toml")
	if err == nil || !strings.HasPrefix(err.Error(), "none.toml: got open none.toml") {
		t.Errorf("got %v", err)
	}
	if _, err := settings.LoadControl("none.toml"); err == nil {
		t.Error("LoadControl returned no error for a missing file")
	}
}
