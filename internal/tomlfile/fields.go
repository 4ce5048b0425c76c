package tomlfile

import (
	"reflect"
	"slices"
	"strings"
)

// tagKey is the key of the struct tags that hold TOML names.
const tagKey = "toml"

// isTable reports whether value is a map or a struct that is decoded from a table.
func isTable(value reflect.Value) bool {
	if value.Kind() == reflect.Map {
		return true
	}
	return value.Kind() == reflect.Struct && !isTextUnmarshaler(value)
}

// mapEntry returns the struct at name in a map of pointers to structs. It adds a missing entry with its default values.
func mapEntry(value reflect.Value, name string) reflect.Value {
	if value.IsNil() {
		value.Set(reflect.MakeMap(value.Type()))
	}
	key := reflect.ValueOf(name)
	found := value.MapIndex(key)
	if found.IsValid() {
		return found.Elem()
	}
	created := reflect.New(value.Type().Elem().Elem())
	setDefaults(created.Elem())
	value.SetMapIndex(key, created)
	return created.Elem()
}

func setDefaults(value reflect.Value) {
	if defaulter, ok := value.Addr().Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
}

func fieldByName(value reflect.Value, name string) (reflect.Value, bool) {
	for i := range value.NumField() {
		if tagName(value.Type().Field(i)) == name {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := tagName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// tagName returns the TOML name of a field, or an empty string if the field is not decoded.
func tagName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get(tagKey), ",")
	if name == "-" {
		return ""
	}
	return name
}

func oneOf(names []string) string {
	return "one of " + strings.Join(names, ", ")
}

func joinName(label, name string) string {
	if label == "" {
		return name
	}
	return label + "." + name
}

// describeType describes the values that can be decoded into t.
func describeType(t reflect.Type) string {
	switch {
	case t == durationType:
		return `a duration such as "1.5s"`
	case t.PkgPath() == "net/netip" && t.Name() == "AddrPort":
		return `an address and port such as "127.0.0.1:7100"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array, each element " + describeType(t.Elem())
	}
	return "a table"
}
