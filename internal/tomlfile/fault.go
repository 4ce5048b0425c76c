package tomlfile

// A Fault is a syntax error, an unknown name or an invalid value in a TOML file.
type Fault struct {
	// Line is zero if it is not known.
	Line int
	// Name is the dotted name of the faulty value. It is empty for a syntax error.
	Name     string
	Found    string
	Expected string
}
