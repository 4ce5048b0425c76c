package configuration

import (
	"fmt"
	"io/fs"
	"path"
	"strings"

	"sapphirespread.example/internal/tomlfile"
)

const fileSuffix = ".toml"

// Load reads a set from TOML files, and from all TOML files below folders, and checks it.
// The error is Problems with all that is wrong, each with its file and line.
func Load(fsys fs.FS, paths ...string) (Set, error) {
	l := newLoader(fsys)
	for _, p := range paths {
		l.path(p)
	}
	set := l.set.canonical()
	var found Problems
	if err := set.Check(); err != nil {
		found = err.(Problems)
	}
	return set, append(l.problems, l.placed(found)...).Err()
}

// place is where an object stands.
type place struct {
	file  string
	lines tomlfile.Lines
}

type loader struct {
	fsys     fs.FS
	set      Set
	places   map[objectID]place
	problems Problems
}

func newLoader(fsys fs.FS) *loader {
	return &loader{fsys: fsys, places: map[objectID]place{}}
}

func (l *loader) path(p string) {
	info, err := fs.Stat(l.fsys, p)
	switch {
	case err != nil:
		l.unreadable(p, err)
	case info.IsDir():
		l.folder(p)
	default:
		l.file(p)
	}
}

func (l *loader) folder(p string) {
	files := 0
	err := fs.WalkDir(l.fsys, p, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			l.unreadable(name, err)
			return nil
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && name != p
		if hidden && entry.IsDir() {
			return fs.SkipDir
		}
		if !hidden && !entry.IsDir() && path.Ext(name) == fileSuffix {
			files++
			l.file(name)
		}
		return nil
	})
	if err == nil && files == 0 {
		l.problems = append(l.problems, Problem{File: p, Found: "no TOML file", Expected: "a folder with *.toml files"})
	}
}

func (l *loader) file(p string) {
	data, err := fs.ReadFile(l.fsys, p)
	if err != nil {
		l.unreadable(p, err)
		return
	}
	var d document
	lines, faults := tomlfile.Decode(data, &d)
	l.problems = append(l.problems, FileProblems(p, faults)...)
	for _, o := range d.objects() {
		l.object(o, place{p, lines})
	}
}

func (l *loader) object(o Object, at place) {
	id := idOf(o)
	name := id.kind.table() + "." + id.name
	if first, ok := l.places[id]; ok {
		expected := fmt.Sprintf("one definition (the first is in %s:%d)", first.file, first.lines.Of(name))
		l.problems = append(l.problems, Problem{at.file, at.lines.Of(name), name, "a second definition", expected})
		return
	}
	l.set.add(o)
	l.places[id] = at
}

func (l *loader) unreadable(p string, err error) {
	l.problems = append(l.problems, Problem{File: p, Found: err.Error(), Expected: "a readable file or folder"})
}

// placed adds the file and line to each problem that a check of the set found in a value that could be read.
func (l *loader) placed(problems Problems) Problems {
	unread := map[string]bool{}
	for _, p := range l.problems {
		unread[p.Name] = true
	}
	var placed Problems
	for _, p := range problems {
		if unread[p.Name] {
			continue
		}
		at := l.places[idIn(p.Name)]
		p.File = at.file
		p.Line = at.lines.Of(p.Name)
		placed = append(placed, p)
	}
	return placed
}

// idIn returns the object that a dotted name belongs to.
func idIn(name string) objectID {
	table, rest, _ := strings.Cut(name, ".")
	object, _, _ := strings.Cut(rest, ".")
	for _, kind := range Kinds() {
		if kind.table() == table {
			return objectID{kind, object}
		}
	}
	return objectID{}
}
