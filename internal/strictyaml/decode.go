package strictyaml

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxBytes bounds one file. A settings subtree must fit into one message
// between processes, with room to spare.
const MaxBytes = 1 << 20

// Defaulter is a struct that fills in its defaults before it is decoded. It is
// called for each list item; the outermost target comes with its own.
type Defaulter interface {
	SetDefaults()
}

// Decode reads data into target, a pointer to a struct, and notes each fault.
// Names in faults begin with file. When Document.Err is not nil the target is
// half filled and must be dropped.
func Decode(file string, data []byte, target any) *Document {
	d := &Document{file: file, lines: map[string]int{}}
	node := d.parse(data)
	if node == nil {
		return d
	}
	d.lines[""] = node.Line
	d.value(node, "", reflect.ValueOf(target).Elem())
	return d
}

var syntaxLine = regexp.MustCompile(`line (\d+): `)

// parse gives the root of the only document, or nil with a fault noted.
func (d *Document) parse(data []byte) *yaml.Node {
	if len(data) > MaxBytes {
		d.Fault("", "keep it under "+strconv.Itoa(MaxBytes)+" bytes", "the file has %d bytes", len(data))
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		d.Fault("", "", "the file is empty")
		return nil
	}
	if err != nil {
		d.syntax(err)
		return nil
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		d.lines[""] = second.Line
		d.Fault("", "keep one document in each file", "a second document begins")
		return nil
	}
	if len(document.Content) == 0 {
		d.Fault("", "", "the file is empty")
		return nil
	}
	return document.Content[0]
}

func (d *Document) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := syntaxLine.FindStringSubmatch(text); match != nil {
		line, _ := strconv.Atoi(match[1]) // the pattern holds digits alone
		d.lines[""] = line
		text = strings.Replace(text, match[0], "", 1)
	}
	d.Fault("", "", "not YAML: %s", text)
}

func (d *Document) value(node *yaml.Node, path string, target reflect.Value) {
	// Aliases and merge keys let a short file grow without bound, and make it
	// unclear which line a value comes from.
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.Fault(path, "write the value out", "anchors and aliases are not taken")
		return
	}
	switch {
	case isScalar(target.Type()):
		d.scalar(node, path, target)
	case target.Kind() == reflect.Struct:
		d.mapping(node, path, target)
	default:
		d.list(node, path, target)
	}
}

func (d *Document) list(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.Fault(path, `write a list: one "- " line for each item, or []`, "is not a list")
		return
	}
	items := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for n, child := range node.Content {
		childPath := Index(path, n)
		d.lines[childPath] = child.Line
		item := items.Index(n)
		if defaulter, ok := item.Addr().Interface().(Defaulter); ok {
			defaulter.SetDefaults()
		}
		d.value(child, childPath, item)
	}
	target.Set(items)
}

func (d *Document) mapping(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.Fault(path, "write keys with values", "is not a map of keys and values")
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]int{}
	for n := 0; n+1 < len(node.Content); n += 2 {
		key, child := node.Content[n], node.Content[n+1]
		childPath := Key(path, key.Value)
		if len(key.Value) > maxQuoted {
			childPath = Key(path, key.Value[:maxQuoted])
		}
		if first, repeated := seen[key.Value]; repeated {
			d.at(childPath, key.Line, "keep one of them", "stands here again, first in line "+strconv.Itoa(first))
			continue
		}
		seen[key.Value] = key.Line
		field, known := fields[key.Value]
		if !known || key.Kind != yaml.ScalarNode {
			d.at(childPath, key.Line, "known keys here: "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "), "unknown key")
			continue
		}
		d.lines[childPath] = key.Line
		d.value(child, childPath, target.Field(field))
	}
}

// at notes a fault at a line that the path itself doesn't give.
func (d *Document) at(path string, line int, want, problem string) {
	d.add(Fault{File: d.file, Line: line, Path: path, Problem: problem, Want: want})
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for n := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(n).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = n
		}
	}
	return fields
}
