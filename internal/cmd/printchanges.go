package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"sapphirespread.example/configuration"
)

// printChanges writes one line per change, marked + for an added object, - for a removed one and ~ for a modified one,
// which is followed by its changed fields.
func printChanges(w io.Writer, before configuration.Set, changes []configuration.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintln(w, "no changes")
		return err
	}
	old := map[configuration.Kind]map[string][]byte{}
	for _, kind := range configuration.Kinds() {
		old[kind] = map[string][]byte{}
	}
	for _, c := range before.Changes(configuration.Set{}) {
		old[c.Kind][c.Name] = c.Body
	}
	for _, c := range changes {
		if err := printChange(w, old[c.Kind][c.Name], c); err != nil {
			return err
		}
	}
	return nil
}

func printChange(w io.Writer, before []byte, c configuration.Change) error {
	switch {
	case c.Removed:
		_, err := fmt.Fprintf(w, "- %s %s\n", c.Kind, c.Name)
		return err
	case before == nil:
		_, err := fmt.Fprintf(w, "+ %s %s\n", c.Kind, c.Name)
		return err
	}
	if _, err := fmt.Fprintf(w, "~ %s %s\n", c.Kind, c.Name); err != nil {
		return err
	}
	return printFields(w, before, c.Body)
}

// printFields writes the old and new values of the fields that differ between two JSON objects.
func printFields(w io.Writer, before, after []byte) error {
	var old, next map[string]json.RawMessage
	if err := json.Unmarshal(before, &old); err != nil {
		return err
	}
	if err := json.Unmarshal(after, &next); err != nil {
		return err
	}
	names := slices.Collect(maps.Keys(old))
	names = slices.AppendSeq(names, maps.Keys(next))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if string(old[name]) == string(next[name]) {
			continue
		}
		if _, err := fmt.Fprintf(w, "    %s: %s -> %s\n", name, valueOrNone(old[name]), valueOrNone(next[name])); err != nil {
			return err
		}
	}
	return nil
}

func valueOrNone(value json.RawMessage) string {
	if value == nil {
		return "none"
	}
	return string(value)
}
