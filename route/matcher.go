package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// A Matcher finds the route of a request. It is immutable and safe for concurrent use.
type Matcher struct {
	exactPaths  map[string][]Route
	prefixPaths map[string][]Route
}

// NewMatcher returns a Matcher for the given routes.
func NewMatcher(routes ...Route) *Matcher {
	m := &Matcher{exactPaths: map[string][]Route{}, prefixPaths: map[string][]Route{}}
	for _, r := range routes {
		path, isPrefix := r.Prefix()
		if isPrefix {
			m.prefixPaths[path] = append(m.prefixPaths[path], r)
		} else {
			path = trimTrailingSlash(path)
			m.exactPaths[path] = append(m.exactPaths[path], r)
		}
	}
	sortByPrecedence(m.exactPaths)
	sortByPrecedence(m.prefixPaths)
	return m
}

// Match returns the route of a request and whether there is one. host may include a port, and path must be
// decoded.
func (m *Matcher) Match(method, host, path string) (Route, bool) {
	if !Canonical(path) {
		return Route{}, false
	}
	host = normalizeHost(host)
	exact := trimTrailingSlash(path)
	if r, ok := firstMatch(m.exactPaths[exact], method, host); ok {
		return r, true
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if r, ok := firstMatch(m.prefixPaths[path[:slash+1]], method, host); ok {
			return r, true
		}
		end = slash
	}
	return Route{}, false
}

// Canonical reports whether path starts with a slash and has no backslash and no empty, "." or ".." segment.
// A trailing slash is allowed.
func Canonical(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsRune(path, '\\') {
		return false
	}
	rest := path[1:]
	for rest != "" {
		segment, after, more := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		if !more {
			return true
		}
		rest = after
	}
	return true
}

// firstMatch returns the first of routes that serves host and allows method.
func firstMatch(routes []Route, method, host string) (Route, bool) {
	for _, r := range routes {
		if r.servesHost(host) && r.allowsMethod(method) {
			return r, true
		}
	}
	return Route{}, false
}

// sortByPrecedence sorts the routes of each path: those with a host before those without, then those with
// methods before those that allow all, then by name.
func sortByPrecedence(byPath map[string][]Route) {
	for _, routes := range byPath {
		slices.SortFunc(routes, func(a, b Route) int {
			return cmp.Or(
				-cmp.Compare(min(len(a.Host), 1), min(len(b.Host), 1)),
				-cmp.Compare(min(len(a.Methods), 1), min(len(b.Methods), 1)),
				cmp.Compare(a.Name, b.Name),
			)
		})
	}
}

func trimTrailingSlash(path string) string {
	if len(path) > 1 {
		return strings.TrimSuffix(path, "/")
	}
	return path
}

// normalizeHost returns host in lower case and without a port.
func normalizeHost(host string) string {
	if strings.LastIndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
