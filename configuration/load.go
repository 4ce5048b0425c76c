package configuration

import (
	"fmt"
	"io/fs"
	"path"
	"strings"

	"sapphirespread.example/internal/tomlfile"
)

const fileSuffix = ".toml"

// Load reads a set from the given TOML files and from all TOML files below the given folders, and checks it.
// The error, if any, is of type Problems and lists every problem with its file and line.
func Load(fsys fs.FS, paths ...string) (Set, error) {
	set, _, err := LoadReviewed(fsys, func(Set) Problems { return nil }, paths...)
	return set, err
}

// LoadReviewed is like Load, and also returns what review finds in a valid set, with files and lines.
func LoadReviewed(fsys fs.FS, review func(Set) Problems, paths ...string) (Set, Problems, error) {
	l := newLoader(fsys)
	for _, p := range paths {
		l.loadPath(p)
	}
	set := l.set.sortedObjects()
	var checkProblems Problems
	if err := set.Check(); err != nil {
		checkProblems = err.(Problems)
	}
	if err := append(l.problems, l.locate(checkProblems)...).Err(); err != nil {
		return set, nil, err
	}
	found := l.locate(review(set))
	_ = found.Err() // sorts
	return set, found, nil
}

// location is the file that defines an object, with the lines of all names in it.
type location struct {
	file  string
	lines tomlfile.Lines
}

// loader collects the objects of the files read and the problems found in them.
type loader struct {
	fsys      fs.FS
	set       Set
	locations map[objectID]location
	problems  Problems
}

func newLoader(fsys fs.FS) *loader {
	return &loader{fsys: fsys, locations: map[objectID]location{}}
}

func (l *loader) loadPath(p string) {
	info, err := fs.Stat(l.fsys, p)
	switch {
	case err != nil:
		l.reportUnreadable(p, err)
	case info.IsDir():
		l.loadFolder(p)
	default:
		l.loadFile(p)
	}
}

func (l *loader) loadFolder(p string) {
	files := 0
	err := fs.WalkDir(l.fsys, p, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			l.reportUnreadable(name, err)
			return nil
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && name != p
		if hidden && entry.IsDir() {
			return fs.SkipDir
		}
		if !hidden && !entry.IsDir() && path.Ext(name) == fileSuffix {
			files++
			l.loadFile(name)
		}
		return nil
	})
	if err == nil && files == 0 {
		l.problems = append(l.problems, Problem{File: p, Found: "no TOML file", Expected: "a folder with *.toml files"})
	}
}

func (l *loader) loadFile(p string) {
	data, err := fs.ReadFile(l.fsys, p)
	if err != nil {
		l.reportUnreadable(p, err)
		return
	}
	var d document
	lines, faults := tomlfile.Decode(data, &d)
	l.problems = append(l.problems, FileProblems(p, faults)...)
	for _, o := range d.objects() {
		l.addObject(o, location{p, lines})
	}
}

func (l *loader) addObject(o Object, at location) {
	id := idOf(o)
	name := id.kind.table() + "." + id.name
	if first, ok := l.locations[id]; ok {
		expected := fmt.Sprintf("one definition (the first is in %s:%d)", first.file, first.lines.Of(name))
		l.problems = append(l.problems, Problem{at.file, at.lines.Of(name), name, "a second definition", expected})
		return
	}
	l.set.add(o)
	l.locations[id] = at
}

func (l *loader) reportUnreadable(p string, err error) {
	l.problems = append(l.problems, Problem{File: p, Found: err.Error(), Expected: "a readable file or folder"})
}

// locate adds the file and line to the problems that a check of the set found. It leaves out the problems of names
// that were already reported while the files were read.
func (l *loader) locate(problems Problems) Problems {
	reported := map[string]bool{}
	for _, p := range l.problems {
		reported[p.Name] = true
	}
	var located Problems
	for _, p := range problems {
		if reported[p.Name] {
			continue
		}
		at := l.locations[objectIDFromName(p.Name)]
		p.File = at.file
		p.Line = at.lines.Of(p.Name)
		located = append(located, p)
	}
	return located
}

// objectIDFromName returns the ID of the object that contains the dotted name, or a zero ID if the kind is unknown.
func objectIDFromName(name string) objectID {
	table, rest, _ := strings.Cut(name, ".")
	object, _, _ := strings.Cut(rest, ".")
	for _, kind := range Kinds() {
		if kind.table() == table {
			return objectID{kind, object}
		}
	}
	return objectID{}
}
