package tomlfile

// A Fault is one place of a file that does not hold what is expected.
type Fault struct {
	Line     int
	Name     string
	Found    string
	Expected string
}
