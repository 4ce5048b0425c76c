package tomlfile

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// A Defaulter is a struct that sets its default values before a table is decoded into it.
type Defaulter interface {
	SetDefaults()
}

// Decode decodes the TOML document in data into the struct that into points to, and returns the line of each name and
// all faults.
func Decode(data []byte, into any) (Lines, []Fault) {
	d := &decoder{
		root:        reflect.ValueOf(into).Elem(),
		lines:       Lines{},
		headerLines: map[string]int{},
	}
	d.parser.Reset(data)
	for d.parser.NextExpression() {
		d.decodeExpression(d.parser.Expression())
	}
	if err := d.parser.Error(); err != nil {
		d.reportSyntaxError(err)
	}
	return d.lines, d.faults
}

// A decoder holds the state of one Decode call.
type decoder struct {
	parser      unstable.Parser
	root        reflect.Value
	tablePath   []keyPart
	skipTable   bool
	lines       Lines
	headerLines map[string]int
	faults      []Fault
}

// A keyPart is one element of a dotted key and its line.
type keyPart struct {
	name string
	line int
}

func (d *decoder) decodeExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		d.beginTable(d.keyParts(node.Key()))
	case unstable.ArrayTable:
		d.beginArrayElement(d.keyParts(node.Key()))
	case unstable.KeyValue:
		if d.skipTable {
			return
		}
		path := append(slices.Clone(d.tablePath), d.keyParts(node.Key())...)
		d.assign(d.root, "", path, node.Value())
	}
}

// beginTable makes path the table of the key-value pairs that follow. It skips the pairs of an unknown or duplicate
// table.
func (d *decoder) beginTable(path []keyPart) {
	d.tablePath = path
	_, label, ok := d.resolve(d.root, "", path)
	d.skipTable = !ok
	if !ok {
		return
	}
	line := path[len(path)-1].line
	if first, ok := d.headerLines[label]; ok {
		d.reportDuplicate(label, line, first)
		d.skipTable = true
		return
	}
	d.headerLines[label] = line
	d.recordLine(label, line)
}

// beginArrayElement appends an element to the array of tables at path.
func (d *decoder) beginArrayElement(path []keyPart) {
	d.tablePath = path
	last := path[len(path)-1]
	parent, label, ok := d.resolve(d.root, "", path[:len(path)-1])
	d.skipTable = !ok
	if !ok {
		return
	}
	field, label, ok := d.child(parent, label, last)
	if !ok || field.Kind() != reflect.Slice || field.Type().Elem().Kind() != reflect.Struct {
		d.skipTable = true
		if ok {
			d.report(last.line, label, "an array of tables", describeType(field.Type()))
		}
		return
	}
	field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
	element := field.Index(field.Len() - 1)
	setDefaults(element)
	d.recordLine(fmt.Sprintf("%s[%d]", label, field.Len()-1), last.line)
}

// assign decodes node into the value at path, relative to from.
func (d *decoder) assign(from reflect.Value, label string, path []keyPart, node *unstable.Node) {
	last := path[len(path)-1]
	parent, label, ok := d.resolve(from, label, path[:len(path)-1])
	if !ok {
		return
	}
	if parent.Kind() == reflect.Map && node.Kind != unstable.InlineTable {
		d.report(last.line, joinName(label, last.name), describeKind(node.Kind), "a table")
		return
	}
	value, label, ok := d.child(parent, label, last)
	if !ok {
		return
	}
	if first, ok := d.lines[label]; ok {
		d.reportDuplicate(label, last.line, first)
		return
	}
	d.recordLine(label, last.line)
	d.decodeValue(value, label, last.line, node)
}

// resolve returns the table at path, relative to from, and its dotted name. In an array of tables it selects the last
// element. It returns false after reporting a fault.
func (d *decoder) resolve(from reflect.Value, label string, path []keyPart) (reflect.Value, string, bool) {
	value := from
	for _, p := range path {
		next, nextLabel, ok := d.child(value, label, p)
		if !ok {
			return value, label, false
		}
		value, label = next, nextLabel
		d.recordLine(label, p.line)
		if value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct && value.Len() > 0 {
			label = fmt.Sprintf("%s[%d]", label, value.Len()-1)
			value = value.Index(value.Len() - 1)
		}
		if !isTable(value) {
			d.report(p.line, label, "a table", describeType(value.Type()))
			return value, label, false
		}
	}
	return value, label, true
}

// child returns the struct field or map entry p of value and its dotted name. It returns false after reporting an
// unknown name.
func (d *decoder) child(value reflect.Value, label string, p keyPart) (reflect.Value, string, bool) {
	label = joinName(label, p.name)
	if value.Kind() == reflect.Map {
		return mapEntry(value, p.name), label, true
	}
	field, ok := fieldByName(value, p.name)
	if !ok {
		d.report(p.line, label, "an unknown name", oneOf(fieldNames(value.Type())))
		return value, label, false
	}
	return field, label, true
}

// keyParts returns the elements of a dotted key.
func (d *decoder) keyParts(keys unstable.Iterator) []keyPart {
	var parts []keyPart
	for keys.Next() {
		node := keys.Node()
		line := d.parser.Shape(node.Raw).Start.Line
		parts = append(parts, keyPart{string(node.Data), line})
	}
	return parts
}

func (d *decoder) reportSyntaxError(err error) {
	line := 0
	var parserErr *unstable.ParserError
	if errors.As(err, &parserErr) && len(parserErr.Highlight) > 0 {
		line = d.parser.Shape(d.parser.Range(parserErr.Highlight)).Start.Line
	}
	d.faults = append(d.faults, Fault{Line: line, Found: err.Error(), Expected: "valid TOML"})
}

func (d *decoder) reportDuplicate(label string, line, first int) {
	d.report(line, label, "a second definition", fmt.Sprintf("one definition (the first is on line %d)", first))
}

func (d *decoder) report(line int, name, found, expected string) {
	d.faults = append(d.faults, Fault{line, name, found, expected})
}

// recordLine records the line of label unless an earlier line defines it.
func (d *decoder) recordLine(label string, line int) {
	if _, ok := d.lines[label]; !ok {
		d.lines[label] = line
	}
}
