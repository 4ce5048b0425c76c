package tomlfile

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

var durationType = reflect.TypeFor[time.Duration]()

// decodeValue decodes node into value and reports a fault if node has the wrong type or form.
func (d *decoder) decodeValue(value reflect.Value, label string, line int, node *unstable.Node) {
	ok := false
	switch {
	case value.Type() == durationType:
		ok = setDuration(value, node)
	case isTextUnmarshaler(value):
		ok = setText(value, node)
	case isTable(value):
		ok = node.Kind == unstable.InlineTable
		if ok {
			d.inlineTable(value, label, node)
		}
	case value.Kind() == reflect.Slice:
		ok = node.Kind == unstable.Array
		if ok {
			d.array(value, label, line, node)
		}
	default:
		ok = setScalar(value, node)
	}
	if !ok {
		d.report(line, label, describeNode(node), describeType(value.Type()))
	}
}

func (d *decoder) inlineTable(value reflect.Value, label string, node *unstable.Node) {
	children := node.Children()
	for children.Next() {
		child := children.Node()
		d.assign(value, label, d.keyParts(child.Key()), child.Value())
	}
}

func (d *decoder) array(value reflect.Value, label string, line int, node *unstable.Node) {
	children := node.Children()
	for i := 0; children.Next(); i++ {
		element := reflect.New(value.Type().Elem()).Elem()
		setDefaults(element)
		d.decodeValue(element, fmt.Sprintf("%s[%d]", label, i), line, children.Node())
		value.Set(reflect.Append(value, element))
	}
}

func setDuration(value reflect.Value, node *unstable.Node) bool {
	if node.Kind != unstable.String {
		return false
	}
	duration, err := time.ParseDuration(string(node.Data))
	value.SetInt(int64(duration))
	return err == nil
}

func isTextUnmarshaler(value reflect.Value) bool {
	_, ok := value.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func setText(value reflect.Value, node *unstable.Node) bool {
	text := value.Addr().Interface().(encoding.TextUnmarshaler)
	return node.Kind == unstable.String && text.UnmarshalText(node.Data) == nil
}

func setScalar(value reflect.Value, node *unstable.Node) bool {
	switch value.Kind() {
	case reflect.String:
		value.SetString(string(node.Data))
		return node.Kind == unstable.String
	case reflect.Bool:
		value.SetBool(string(node.Data) == "true")
		return node.Kind == unstable.Bool
	case reflect.Int, reflect.Int64:
		return setInt(value, node)
	case reflect.Float64:
		return setFloat(value, node)
	}
	return false
}

func setInt(value reflect.Value, node *unstable.Node) bool {
	if node.Kind != unstable.Integer {
		return false
	}
	number, err := strconv.ParseInt(string(node.Data), 0, value.Type().Bits())
	value.SetInt(number)
	return err == nil
}

func setFloat(value reflect.Value, node *unstable.Node) bool {
	if node.Kind != unstable.Float && node.Kind != unstable.Integer {
		return false
	}
	text := strings.ReplaceAll(string(node.Data), "_", "")
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return false
	}
	value.SetFloat(number)
	return true
}

const maxShownBytes = 60

// describeNode returns the text of a scalar, cut to maxShownBytes, or the kind of an array or table.
func describeNode(node *unstable.Node) string {
	switch node.Kind {
	case unstable.Array, unstable.InlineTable:
		return describeKind(node.Kind)
	}
	text := string(node.Data)
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "..."
	}
	if node.Kind == unstable.String {
		return strconv.Quote(text)
	}
	return text
}

func describeKind(kind unstable.Kind) string {
	switch kind {
	case unstable.Array:
		return "an array"
	case unstable.InlineTable, unstable.Table:
		return "a table"
	}
	return "a value"
}
