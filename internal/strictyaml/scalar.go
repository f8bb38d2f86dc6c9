package strictyaml

import (
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// ScalarUnmarshaler is a type with its own text form. The text of the error is
// used as Fault.Want: it says what to write instead.
type ScalarUnmarshaler interface {
	UnmarshalScalar(text string) error
}

var (
	durationType    = reflect.TypeFor[time.Duration]()
	unmarshalerType = reflect.TypeFor[ScalarUnmarshaler]()
)

// maxQuotedBytes limits how much of an invalid value or key a fault repeats.
const maxQuotedBytes = 64

func quote(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(text)
}

func isScalar(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(unmarshalerType) || (t.Kind() != reflect.Struct && t.Kind() != reflect.Slice)
}

func (d *Document) decodeScalar(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.Fault(path, "write one value", "is a list or a map")
		return
	}
	if node.ShortTag() == "!!null" {
		d.Fault(path, "give a value or leave the key out", "has no value")
		return
	}
	if custom, ok := target.Addr().Interface().(ScalarUnmarshaler); ok {
		if err := custom.UnmarshalScalar(node.Value); err != nil {
			d.Fault(path, err.Error(), "%s is not valid", quote(node.Value))
		}
		return
	}
	if target.Type() == durationType {
		d.decodeDuration(node, path, target)
		return
	}
	d.decodeBasic(node, path, target)
}

func (d *Document) decodeDuration(node *yaml.Node, path string, target reflect.Value) {
	const want = "write a number with its unit, such as 300ms, 2s or 10m"
	value, err := time.ParseDuration(node.Value)
	switch {
	case err != nil:
		d.Fault(path, want, "%s is not a duration", quote(node.Value))
	case value == 0 && node.Value == "0":
		d.Fault(path, want, "has no unit")
	case value < 0:
		d.Fault(path, want, "%s is negative", quote(node.Value))
	default:
		target.SetInt(int64(value))
	}
}

func (d *Document) decodeBasic(node *yaml.Node, path string, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		d.decodeText(node, path, target)
	case reflect.Bool:
		d.decodeBool(node, path, target)
	case reflect.Int, reflect.Int64:
		d.decodeInt(node, path, target)
	case reflect.Float64:
		d.decodeFloat(node, path, target)
	default:
		panic("strictyaml: unsupported type " + target.Type().String())
	}
}

func (d *Document) decodeText(node *yaml.Node, path string, target reflect.Value) {
	if node.ShortTag() != "!!str" {
		d.Fault(path, "put the value in quotes", "%s is not text", quote(node.Value))
		return
	}
	target.SetString(node.Value)
}

func (d *Document) decodeBool(node *yaml.Node, path string, target reflect.Value) {
	value, err := strconv.ParseBool(node.Value)
	if node.ShortTag() != "!!bool" || err != nil {
		d.Fault(path, "write true or false", "%s is neither true nor false", quote(node.Value))
		return
	}
	target.SetBool(value)
}

func (d *Document) decodeInt(node *yaml.Node, path string, target reflect.Value) {
	value, err := strconv.ParseInt(node.Value, 10, 64)
	// Some YAML parsers take a leading zero to mean octal, others ignore it.
	leadingZero := len(strings.TrimLeft(node.Value, "-+")) > 1 && strings.TrimLeft(node.Value, "-+")[0] == '0'
	if node.ShortTag() != "!!int" || err != nil || leadingZero {
		d.Fault(path, "write a whole number in decimal digits", "%s is not a whole number", quote(node.Value))
		return
	}
	target.SetInt(value)
}

func (d *Document) decodeFloat(node *yaml.Node, path string, target reflect.Value) {
	value, err := strconv.ParseFloat(node.Value, 64)
	tag := node.ShortTag()
	number := (tag == "!!int" || tag == "!!float") && err == nil
	if !number || math.IsNaN(value) || math.IsInf(value, 0) {
		d.Fault(path, "write a decimal number such as 0.5", "%s is not a number", quote(node.Value))
		return
	}
	target.SetFloat(value)
}
