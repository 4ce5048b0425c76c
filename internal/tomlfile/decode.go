package tomlfile

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// A Defaulter sets its own default values before a table is decoded into it.
type Defaulter interface {
	SetDefaults()
}

// Decode reads the TOML in data into the struct that into points to and returns the line of each name and all faults.
func Decode(data []byte, into any) (Lines, []Fault) {
	d := &decoder{
		root:    reflect.ValueOf(into).Elem(),
		lines:   Lines{},
		headers: map[string]int{},
	}
	d.parser.Reset(data)
	for d.parser.NextExpression() {
		d.expression(d.parser.Expression())
	}
	if err := d.parser.Error(); err != nil {
		d.syntax(err)
	}
	return d.lines, d.faults
}

type decoder struct {
	parser  unstable.Parser
	root    reflect.Value
	table   []part
	skip    bool
	lines   Lines
	headers map[string]int
	faults  []Fault
}

// A part is one element of a dotted key.
type part struct {
	name string
	line int
}

func (d *decoder) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		d.openTable(d.parts(node.Key()))
	case unstable.ArrayTable:
		d.openElement(d.parts(node.Key()))
	case unstable.KeyValue:
		if d.skip {
			return
		}
		path := append(slices.Clone(d.table), d.parts(node.Key())...)
		d.assign(d.root, "", path, node.Value())
	}
}

func (d *decoder) openTable(path []part) {
	d.table = path
	_, label, ok := d.resolve(d.root, "", path)
	d.skip = !ok
	if !ok {
		return
	}
	line := path[len(path)-1].line
	if first, ok := d.headers[label]; ok {
		d.duplicate(label, line, first)
		d.skip = true
		return
	}
	d.headers[label] = line
	d.note(label, line)
}

func (d *decoder) openElement(path []part) {
	d.table = path
	last := path[len(path)-1]
	parent, label, ok := d.resolve(d.root, "", path[:len(path)-1])
	d.skip = !ok
	if !ok {
		return
	}
	field, label, ok := d.step(parent, label, last)
	if !ok || field.Kind() != reflect.Slice || field.Type().Elem().Kind() != reflect.Struct {
		d.skip = true
		if ok {
			d.fault(last.line, label, "an array of tables", expected(field.Type()))
		}
		return
	}
	field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
	element := field.Index(field.Len() - 1)
	setDefaults(element)
	d.note(fmt.Sprintf("%s[%d]", label, field.Len()-1), last.line)
}

// assign decodes node into the value that path leads to.
func (d *decoder) assign(from reflect.Value, label string, path []part, node *unstable.Node) {
	last := path[len(path)-1]
	parent, label, ok := d.resolve(from, label, path[:len(path)-1])
	if !ok {
		return
	}
	if parent.Kind() == reflect.Map && node.Kind != unstable.InlineTable {
		d.fault(last.line, join(label, last.name), kindName(node.Kind), "a table")
		return
	}
	value, label, ok := d.step(parent, label, last)
	if !ok {
		return
	}
	if first, ok := d.lines[label]; ok {
		d.duplicate(label, last.line, first)
		return
	}
	d.note(label, last.line)
	d.decode(value, label, last.line, node)
}

// resolve walks from a value along path, entering the last element of each array of tables.
func (d *decoder) resolve(from reflect.Value, label string, path []part) (reflect.Value, string, bool) {
	value := from
	for _, p := range path {
		next, nextLabel, ok := d.step(value, label, p)
		if !ok {
			return value, label, false
		}
		value, label = next, nextLabel
		d.note(label, p.line)
		if value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct && value.Len() > 0 {
			label = fmt.Sprintf("%s[%d]", label, value.Len()-1)
			value = value.Index(value.Len() - 1)
		}
		if !isTable(value) {
			d.fault(p.line, label, "a table", expected(value.Type()))
			return value, label, false
		}
	}
	return value, label, true
}

// step enters the field or map entry of value that p names.
func (d *decoder) step(value reflect.Value, label string, p part) (reflect.Value, string, bool) {
	label = join(label, p.name)
	if value.Kind() == reflect.Map {
		return entry(value, p.name), label, true
	}
	field, ok := fieldOf(value, p.name)
	if !ok {
		d.fault(p.line, label, "an unknown name", oneOf(fieldNames(value.Type())))
		return value, label, false
	}
	return field, label, true
}

func (d *decoder) parts(keys unstable.Iterator) []part {
	var parts []part
	for keys.Next() {
		node := keys.Node()
		line := d.parser.Shape(node.Raw).Start.Line
		parts = append(parts, part{string(node.Data), line})
	}
	return parts
}

func (d *decoder) syntax(err error) {
	line := 0
	var parserErr *unstable.ParserError
	if errors.As(err, &parserErr) && len(parserErr.Highlight) > 0 {
		line = d.parser.Shape(d.parser.Range(parserErr.Highlight)).Start.Line
	}
	d.faults = append(d.faults, Fault{Line: line, Found: err.Error(), Expected: "valid TOML"})
}

func (d *decoder) duplicate(label string, line, first int) {
	d.fault(line, label, "a second definition", fmt.Sprintf("one definition (the first is on line %d)", first))
}

func (d *decoder) fault(line int, name, found, expected string) {
	d.faults = append(d.faults, Fault{line, name, found, expected})
}

func (d *decoder) note(label string, line int) {
	if _, ok := d.lines[label]; !ok {
		d.lines[label] = line
	}
}
