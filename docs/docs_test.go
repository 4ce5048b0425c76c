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

var update = flag.Bool("update", false, "rewrite the parts of pages that are generated from the code")

// TestPagesAgreeWithTheCode checks that the generated parts of pages are up to date.
func TestPagesAgreeWithTheCode(t *testing.T) {
	for _, c := range []struct {
		page, marker string
		generate     func(*testing.T) string
	}{
		{"reference/refusals.md", "refusals", refusalsTable},
		{"reference/commands.md", "commands", commandsReference},
	} {
		text := readPage(t, c.page)
		head, rest, markerFound := strings.Cut(text, "<!-- "+c.marker+" -->\n")
		_, tail, endFound := strings.Cut(rest, "<!-- end -->\n")
		if !markerFound || !endFound {
			t.Fatalf("%s has no start or end marker", c.page)
		}
		want := head + "<!-- " + c.marker + " -->\n" + c.generate(t) + "<!-- end -->\n" + tail
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

// refusalsTable returns a Markdown table of all refusal kinds.
func refusalsTable(*testing.T) string {
	var b strings.Builder
	b.WriteString("| kind | status | run state | retryable | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	kinds := refusal.Kinds()
	slices.Sort(kinds)
	for _, kind := range kinds {
		answer := refusal.AnswerTo(kind)
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %t | %s | %s |\n", kind, answer.Status, answer.RunState, answer.Retryable, answer.RetryAfter, answer.Detail)
	}
	return b.String()
}

// commandsReference returns the help texts of all commands and subcommands in Markdown. It unsets
// the environment variables whose values would appear there as defaults.
func commandsReference(t *testing.T) string {
	for _, variable := range []string{"SAPPHIRESPREAD_CONTROL", "SAPPHIRESPREAD_AUTHOR", "USER"} {
		t.Setenv(variable, "")
		os.Unsetenv(variable)
	}
	var b strings.Builder
	for _, name := range listedCommands(helpText(t)) {
		text := helpText(t, name)
		fmt.Fprintf(&b, "## %s\n\n```text\n%s```\n\n", name, text)
		for _, sub := range listedCommands(text) {
			fmt.Fprintf(&b, "### %s %s\n\n```text\n%s```\n\n", name, sub, helpText(t, name, sub))
		}
	}
	return b.String()
}

// TestEveryCommandHasAnExample checks that the help of each command and subcommand shows how to call it.
func TestEveryCommandHasAnExample(t *testing.T) {
	for _, name := range listedCommands(helpText(t)) {
		paths := [][]string{{name}}
		if subs := listedCommands(helpText(t, name)); len(subs) > 0 {
			paths = nil
			for _, sub := range subs {
				paths = append(paths, []string{name, sub})
			}
		}
		for _, path := range paths {
			_, examples, _ := strings.Cut(helpText(t, path...), "Example")
			if !strings.Contains(examples, "sapphirespread "+strings.Join(path, " ")) {
				t.Errorf("the help of %v has no example", path)
			}
		}
	}
}

// helpText returns the output of a command with --help.
func helpText(t *testing.T, command ...string) string {
	t.Helper()
	var stdout, stderr bytes.Buffer
	if status := cmd.Main(t.Context(), append(command, "--help"), &stdout, &stderr); status != 0 {
		t.Fatalf("help of %v: status %d: %s", command, status, &stderr)
	}
	return stdout.String()
}

var commandLine = regexp.MustCompile(`(?m)^   ([a-z]+)  `)

// listedCommands returns the names of the commands in the COMMANDS section of a help text.
func listedCommands(text string) []string {
	_, list, _ := strings.Cut(text, "COMMANDS:\n")
	list, _, _ = strings.Cut(list, "\n\n")
	var names []string
	for _, match := range commandLine.FindAllStringSubmatch(list, -1) {
		names = append(names, match[1])
	}
	return names
}

var relativeLink = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// TestLinksLeadToPages checks that the file of each relative link exists.
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
		for _, match := range relativeLink.FindAllStringSubmatch(readPage(t, page), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
}

// TestEveryFieldIsExplained checks that the reference pages list every key of the settings and object files.
func TestEveryFieldIsExplained(t *testing.T) {
	settingsPage, objectsPage := readPage(t, "reference/settings.md"), readPage(t, "reference/objects.md")
	checkFieldsExplained(t, settingsPage, "", reflect.TypeFor[settings.Daemon]())
	checkFieldsExplained(t, settingsPage, "", reflect.TypeFor[settings.Control]())
	for _, object := range []configuration.Object{
		configuration.Workspace{},
		configuration.Key{},
		configuration.Service{},
		configuration.Priority{},
		configuration.Limit{},
		configuration.Route{},
	} {
		checkFieldsExplained(t, objectsPage, "", reflect.TypeOf(object))
	}
}

// checkFieldsExplained checks that page has a table row for each TOML key of structType. The names
// of nested keys begin with table, which ends in a dot.
func checkFieldsExplained(t *testing.T, page, table string, structType reflect.Type) {
	t.Helper()
	for i := range structType.NumField() {
		field := structType.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "-" {
			continue
		}
		if field.Type.Kind() == reflect.Struct && field.Type.PkgPath() == reflect.TypeFor[settings.Log]().PkgPath() {
			checkFieldsExplained(t, page, name+".", field.Type)
			continue
		}
		if !strings.Contains(page, "| `"+table+name+"` |") {
			t.Errorf("key %s%s of %s has no row on its page", table, name, structType.Name())
		}
	}
}

// readPage returns the text of a page.
func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
