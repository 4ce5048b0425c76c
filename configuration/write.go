package configuration

import (
	"fmt"
	"io"

	"github.com/pelletier/go-toml/v2"
)

// Write writes the objects of the set to w as TOML that Load can read.
func (s Set) Write(w io.Writer) error {
	first := true
	for _, o := range s.Objects() {
		if !first {
			if _, err := io.WriteString(w, "\n"); err != nil {
				return err
			}
		}
		first = false
		if err := writeObject(w, o); err != nil {
			return fmt.Errorf("writing %s %s: %w", o.ObjectKind(), o.ObjectName(), err)
		}
	}
	return nil
}

func writeObject(w io.Writer, o Object) error {
	var fields any = o
	switch object := o.(type) {
	case Route:
		fields = object.body()
	case Service:
		fields = object.body()
	}
	encoded, err := toml.Marshal(fields)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "[%s.%s]\n%s", o.ObjectKind().table(), o.ObjectName(), encoded)
	return err
}

// OfKind returns a set that contains only the objects of the given kind.
func (s Set) OfKind(kind Kind) Set {
	var selected Set
	for _, o := range s.Objects() {
		if o.ObjectKind() == kind {
			selected.add(o)
		}
	}
	return selected
}
