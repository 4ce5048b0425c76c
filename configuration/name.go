package configuration

import "regexp"

const maxNameLength = 63

const expectedName = "a kebab-case name of at most 63 letters, digits and hyphens"

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName reports whether name is in kebab case and no longer than 63 bytes, as the names of objects and processes are.
func ValidName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}
