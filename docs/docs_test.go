package docs_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/cmd"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/refusal"
)

var update = flag.Bool("update", false, "rewrite the parts of pages that are made of the code")

// TestPagesAgreeWithTheCode compares the parts of pages that are made of the code.
func TestPagesAgreeWithTheCode(t *testing.T) {
	for _, c := range []struct {
		page, mark string
		made       func(*testing.T) string
	}{
		{"reference/refusals.md", "refusals", refusals},
		{"reference/commands.md", "commands", commands},
	} {
		text := read(t, c.page)
		head, rest, ok := strings.Cut(text, "<!-- "+c.mark+" -->\n")
		_, tail, ended := strings.Cut(rest, "<!-- end -->\n")
		if !ok || !ended {
			t.Fatalf("%s has no marks", c.page)
		}
		want := head + "<!-- " + c.mark + " -->\n" + c.made(t) + "<!-- end -->\n" + tail
		if *update {
			if err := os.WriteFile(c.page, []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if text != want {
			t.Errorf("%s is out of date; run go test ./docs -update", c.page)
		}
	}
}

func refusals(*testing.T) string {
	var b strings.Builder
	b.WriteString("| kind | status | run state | retryable | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	kinds := refusal.Kinds()
	slices.Sort(kinds)
	for _, kind := range kinds {
		a := refusal.AnswerTo(kind)
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %t | %s | %s |\n", kind, a.Status, a.RunState, a.Retryable, a.RetryAfter, a.Detail)
	}
	return b.String()
}

func commands(t *testing.T) string {
	for _, variable := range []string{"SAPPHIRESPREAD_CONTROL", "SAPPHIRESPREAD_AUTHOR", "USER"} {
		t.Setenv(variable, "")
		os.Unsetenv(variable)
	}
	var b strings.Builder
	for _, name := range commandsIn(help(t)) {
		text := help(t, name)
		fmt.Fprintf(&b, "## %s\n\n```text\n%s```\n\n", name, text)
		for _, sub := range commandsIn(text) {
			fmt.Fprintf(&b, "### %s %s\n\n```text\n%s```\n\n", name, sub, help(t, name, sub))
		}
	}
	return b.String()
}

// TestEveryCommandHasAnExample keeps help useful to newcomers.
func TestEveryCommandHasAnExample(t *testing.T) {
	for _, name := range commandsIn(help(t)) {
		leaves := [][]string{{name}}
		if subs := commandsIn(help(t, name)); len(subs) > 0 {
			leaves = nil
			for _, sub := range subs {
				leaves = append(leaves, []string{name, sub})
			}
		}
		for _, leaf := range leaves {
			_, examples, _ := strings.Cut(help(t, leaf...), "Example")
			if !strings.Contains(examples, "sapphirespread "+strings.Join(leaf, " ")) {
				t.Errorf("the help of %v has no example", leaf)
			}
		}
	}
}

func help(t *testing.T, command ...string) string {
	t.Helper()
	var stdout, stderr bytes.Buffer
	if status := cmd.Main(t.Context(), append(command, "--help"), &stdout, &stderr); status != 0 {
		t.Fatalf("help of %v: status %d: %s", command, status, &stderr)
	}
	return stdout.String()
}

var listed = regexp.MustCompile(`(?m)^   ([a-z]+)  `)

// commandsIn returns the commands that a help text lists.
func commandsIn(text string) []string {
	_, list, _ := strings.Cut(text, "COMMANDS:\n")
	list, _, _ = strings.Cut(list, "\n\n")
	var names []string
	for _, match := range listed.FindAllStringSubmatch(list, -1) {
		names = append(names, match[1])
	}
	return names
}

var link = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// TestLinksLeadToPages looks for what each relative link names.
func TestLinksLeadToPages(t *testing.T) {
	var pages []string
	for _, pattern := range []string{"*.md", "*/*.md", "../*.md", "../examples/*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: no pages: %v", pattern, err)
		}
		pages = append(pages, found...)
	}
	for _, page := range pages {
		for _, match := range link.FindAllStringSubmatch(read(t, page), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
}

// TestEveryFieldIsExplained looks for each name of a TOML file on its page.
func TestEveryFieldIsExplained(t *testing.T) {
	settingsPage, objectsPage := read(t, "reference/settings.md"), read(t, "reference/objects.md")
	explained(t, settingsPage, "", reflect.TypeFor[settings.Daemon]())
	explained(t, settingsPage, "", reflect.TypeFor[settings.Control]())
	for _, object := range []configuration.Object{
		configuration.Workspace{},
		configuration.Key{},
		configuration.Service{},
		configuration.Priority{},
		configuration.Limit{},
		configuration.Route{},
	} {
		explained(t, objectsPage, "", reflect.TypeOf(object))
	}
}

func explained(t *testing.T, page, table string, typed reflect.Type) {
	t.Helper()
	for i := range typed.NumField() {
		field := typed.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "-" {
			continue
		}
		if field.Type.Kind() == reflect.Struct && field.Type.PkgPath() == reflect.TypeFor[settings.Log]().PkgPath() {
			explained(t, page, name+".", field.Type)
			continue
		}
		if !strings.Contains(page, "| `"+table+name+"` |") {
			t.Errorf("%s%s of %s is not explained", table, name, typed.Name())
		}
	}
}

func read(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
