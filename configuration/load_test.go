package configuration_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/configuration"
)

// TestLoad runs the cases below testdata/load. The command "file path=..." adds a file to the folder, "load" loads the
// folder and empties it, and "write" loads the folder and writes the set as one file.
func TestLoad(t *testing.T) {
	datadriven.Walk(t, "testdata/load", func(t *testing.T, path string) {
		files := fstest.MapFS{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				var name string
				d.ScanArgs(t, "path", &name)
				files[name] = &fstest.MapFile{Data: []byte(d.Input)}
				return ""
			case "load":
				set, err := configuration.Load(files, ".")
				files = fstest.MapFS{}
				if err != nil {
					return err.Error()
				}
				return dump(set)
			case "write":
				set, err := configuration.Load(files, ".")
				if err != nil {
					return err.Error()
				}
				var b strings.Builder
				if err := set.Write(&b); err != nil {
					return err.Error()
				}
				again, err := configuration.Load(fstest.MapFS{"all.toml": {Data: []byte(b.String())}}, ".")
				if err != nil || dump(again) != dump(set) {
					t.Errorf("the set differs after it was written and loaded: %v", err)
				}
				return b.String()
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// dump returns the kind and the encoded body of each object of the set, one per line.
func dump(set configuration.Set) string {
	var b strings.Builder
	for _, c := range set.Changes(configuration.Set{}) {
		fmt.Fprintf(&b, "%s %s\n", c.Kind, c.Body)
	}
	return b.String()
}

func FuzzLoad(f *testing.F) {
	f.Add("[limits.a]\nrate = 1\nburst = 2\n[workspaces.w]\nlimit = 'a'")
	f.Add("[routes.a]\ndeadline = '2s'\nmethods = ['GET', 1]\n[routes.a]\nx.y = {z = 1}")
	f.Add("[[limits]]\n[limits.a.b]\nlimits = 3\n= broken")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := configuration.Load(fstest.MapFS{"a.toml": {Data: []byte(text)}}, ".")
		if err != nil {
			problems, ok := err.(configuration.Problems)
			if !ok || len(problems) == 0 {
				t.Fatalf("the error is not a list of problems: %v", err)
			}
			return
		}
		if set.Check() != nil {
			t.Fatalf("loaded an invalid set: %v", set.Check())
		}
		again, err := configuration.Set{}.Apply(set.Changes(configuration.Set{}))
		if err != nil || dump(again) != dump(set) {
			t.Fatalf("the set differs after it was encoded and decoded: %v", err)
		}
	})
}
