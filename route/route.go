package route

import (
	"slices"
	"strings"
)

const prefixSuffix = "/*"

// A Route is what the matcher needs to know of a route.
type Route struct {
	Name    string
	Host    string
	Path    string
	Methods []string
}

// Prefix returns the path that a prefix route stands for, with its last slash, and whether r is one.
func (r Route) Prefix() (string, bool) {
	if !strings.HasSuffix(r.Path, prefixSuffix) {
		return r.Path, false
	}
	return strings.TrimSuffix(r.Path, "*"), true
}

// Overlaps reports whether some request matches both routes with equal precedence.
func (r Route) Overlaps(other Route) bool {
	if r.Host != other.Host || r.Path != other.Path {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return len(r.Methods) == len(other.Methods)
	}
	return slices.ContainsFunc(r.Methods, other.allows)
}

func (r Route) allows(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

func (r Route) serves(host string) bool {
	return r.Host == "" || r.Host == host
}
