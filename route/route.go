package route

import (
	"slices"
	"strings"
)

const prefixWildcard = "/*"

// A Route holds the properties of a route that select requests. An empty Host matches all hosts, and empty
// Methods match all methods. Host must be in lower case. A Path that ends in "/*" is a prefix.
type Route struct {
	Name    string
	Host    string
	Path    string
	Methods []string
}

// Prefix returns the path prefix with its trailing slash and true if r is a prefix route, or the exact path
// and false otherwise.
func (r Route) Prefix() (string, bool) {
	if !strings.HasSuffix(r.Path, prefixWildcard) {
		return r.Path, false
	}
	return strings.TrimSuffix(r.Path, "*"), true
}

// Overlaps reports whether a request could match both routes with equal precedence.
func (r Route) Overlaps(other Route) bool {
	if r.Host != other.Host || r.Path != other.Path {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return len(r.Methods) == len(other.Methods)
	}
	return slices.ContainsFunc(r.Methods, other.allowsMethod)
}

func (r Route) allowsMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

func (r Route) servesHost(host string) bool {
	return r.Host == "" || r.Host == host
}
