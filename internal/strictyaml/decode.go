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

// MaxFileBytes is the maximum size of a file. A settings subtree must fit into
// one message between processes, with a margin.
const MaxFileBytes = 1 << 20

// Defaulter is a struct that sets its defaults before it is decoded. Decode calls
// SetDefaults on list items only; its caller sets the defaults of the target.
type Defaulter interface {
	SetDefaults()
}

// Decode decodes data into target, a pointer to a struct, and records all faults,
// with file as the name of their source. If Document.Err is not nil, target is
// partially filled and must be discarded.
func Decode(file string, data []byte, target any) *Document {
	d := &Document{file: file, lines: map[string]int{}}
	node := d.parse(data)
	if node == nil {
		return d
	}
	d.lines[""] = node.Line
	d.decodeValue(node, "", reflect.ValueOf(target).Elem())
	return d
}

var syntaxLine = regexp.MustCompile(`line (\d+): `)

// parse returns the root of the only document, or records a fault and returns nil.
func (d *Document) parse(data []byte) *yaml.Node {
	if len(data) > MaxFileBytes {
		d.Fault("", "keep it under "+strconv.Itoa(MaxFileBytes)+" bytes", "the file has %d bytes", len(data))
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
		d.syntaxFault(err)
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

// syntaxFault records an error of the YAML parser at the line that it names.
func (d *Document) syntaxFault(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := syntaxLine.FindStringSubmatch(text); match != nil {
		line, _ := strconv.Atoi(match[1]) // the pattern matches only digits
		d.lines[""] = line
		text = strings.Replace(text, match[0], "", 1)
	}
	d.Fault("", "", "not YAML: %s", text)
}

func (d *Document) decodeValue(node *yaml.Node, path string, target reflect.Value) {
	// Aliases and merge keys let a short file expand without limit, and make it
	// unclear which line a value comes from.
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.Fault(path, "write the value out", "anchors and aliases are not taken")
		return
	}
	switch {
	case isScalar(target.Type()):
		d.decodeScalar(node, path, target)
	case target.Kind() == reflect.Struct:
		d.decodeMapping(node, path, target)
	default:
		d.decodeList(node, path, target)
	}
}

func (d *Document) decodeList(node *yaml.Node, path string, target reflect.Value) {
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
		d.decodeValue(child, childPath, item)
	}
	target.Set(items)
}

func (d *Document) decodeMapping(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.Fault(path, "write keys with values", "is not a map of keys and values")
		return
	}
	fields := yamlFields(target.Type())
	seen := map[string]int{}
	for n := 0; n+1 < len(node.Content); n += 2 {
		key, child := node.Content[n], node.Content[n+1]
		childPath := Key(path, key.Value)
		if len(key.Value) > maxQuotedBytes {
			childPath = Key(path, key.Value[:maxQuotedBytes])
		}
		if first, repeated := seen[key.Value]; repeated {
			d.faultAtLine(childPath, key.Line, "keep one of them", "stands here again, first in line "+strconv.Itoa(first))
			continue
		}
		seen[key.Value] = key.Line
		field, known := fields[key.Value]
		if !known || key.Kind != yaml.ScalarNode {
			d.faultAtLine(childPath, key.Line, "known keys here: "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "), "unknown key")
			continue
		}
		d.lines[childPath] = key.Line
		d.decodeValue(child, childPath, target.Field(field))
	}
}

// faultAtLine records a fault at path with the given line.
func (d *Document) faultAtLine(path string, line int, want, problem string) {
	d.add(Fault{File: d.file, Line: line, Path: path, Problem: problem, Want: want})
}

// yamlFields maps the YAML names of a struct's fields to their indexes.
func yamlFields(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for n := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(n).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = n
		}
	}
	return fields
}
