package route_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sapphirespread.example/route"
)

var routes = []route.Route{
	{Name: "all", Path: "/*"},
	{Name: "courts", Path: "/courts/*", Methods: []string{"GET"}},
	{Name: "book", Path: "/courts/*", Methods: []string{"POST"}},
	{Name: "courts-oslo", Path: "/courts/*", Host: "oslo.example", Methods: []string{"GET"}},
	{Name: "free", Path: "/courts/free"},
	{Name: "root", Path: "/", Host: "oslo.example"},
	{Name: "get-wind", Path: "/wind", Methods: []string{"GET"}},
	{Name: "any-wind", Path: "/wind"},
}

func TestMatch(t *testing.T) {
	m := route.NewMatcher(routes...)
	for _, c := range []struct{ method, host, path, want string }{
		{"GET", "", "/courts/7", "courts"},
		{"POST", "", "/courts/7/hours/9", "book"},
		{"GET", "oslo.example", "/courts/7", "courts-oslo"},
		{"GET", "Oslo.Example:8080", "/courts/7", "courts-oslo"},
		{"GET", "[::1]:8080", "/courts/7", "courts"},
		{"POST", "oslo.example", "/courts/7", "book"},
		{"PUT", "", "/courts/7", "all"},
		{"PUT", "", "/courts/free", "free"},
		{"PUT", "", "/courts/free/", "free"},
		{"PUT", "", "/courts/free/7", "all"},
		{"GET", "", "/courts/", "courts"},
		{"GET", "", "/courts", "all"},
		{"GET", "oslo.example", "/", "root"},
		{"GET", "", "/", "all"},
		{"GET", "", "/wind", "get-wind"},
		{"PUT", "", "/wind", "any-wind"},
		{"GET", "", "", ""},
		{"GET", "", "courts/7", ""},
		{"GET", "", "/courts//7", ""},
		{"GET", "", "//courts/7", ""},
		{"GET", "", "/courts/../wind", ""},
		{"GET", "", "/courts/./free", ""},
		{"GET", "", "/courts/..", ""},
		{"GET", "", `/courts\free`, ""},
		{"GET", "", "/...", "all"},
	} {
		if got, ok := m.Match(c.method, c.host, c.path); got.Name != c.want || ok != (c.want != "") {
			t.Errorf("%s %s%s: got %q, want %q", c.method, c.host, c.path, got.Name, c.want)
		}
	}
}

// TestMatchedRouteIsTheLongest compares the matcher with a linear search for the longest matching path.
func TestMatchedRouteIsTheLongest(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "*"})
	rapid.Check(t, func(t *rapid.T) {
		var all []route.Route
		for i, path := range rapid.SliceOfNDistinct(rapid.SliceOfN(segment, 1, 3), 1, 8, joinPath).Draw(t, "paths") {
			text := joinPath(path)
			if strings.Contains(strings.TrimSuffix(text, "/*"), "*") {
				continue
			}
			all = append(all, route.Route{Name: string(rune('0' + i)), Path: text})
		}
		path := joinPath(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 1, 4).Draw(t, "path"))
		longest := ""
		for _, r := range all {
			prefix, isPrefix := r.Prefix()
			if (isPrefix && strings.HasPrefix(path, prefix)) || r.Path == path {
				if len(prefix) > len(strings.TrimSuffix(longest, "*")) {
					longest = r.Path
				}
			}
		}
		if got, _ := route.NewMatcher(all...).Match("GET", "", path); got.Path != longest {
			t.Fatalf("%s: got %q, want %q", path, got.Path, longest)
		}
	})
}

func joinPath(segments []string) string { return "/" + strings.Join(segments, "/") }

func BenchmarkMatch(b *testing.B) {
	m := route.NewMatcher(routes...)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := m.Match("POST", "oslo.example:8080", "/courts/7/hours/9"); !ok {
			b.Fatal("no match")
		}
	}
}
