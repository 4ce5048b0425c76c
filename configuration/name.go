package configuration

import "regexp"

const maxNameLength = 63

const expectedName = "a kebab-case name of at most 63 letters, digits and hyphens"

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName reports whether name is a valid name of an object or a process: in kebab case and at most 63 bytes long.
func ValidName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}
