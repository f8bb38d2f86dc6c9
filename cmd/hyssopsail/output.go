package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// table is output as rows of text.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for n, cell := range cells {
		row[n] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(tab, strings.Join(row, "\t")); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(tab.Flush())
}

// show writes data in the requested format: as tables, or encoded as JSON or YAML.
func (a *app) show(data any, tables ...*table) error {
	if a.format == formatTable {
		return a.showTables(tables)
	}
	encoded, err := encode(data)
	if err != nil {
		return trace.Wrap(err)
	}
	if a.format == formatYAML {
		encoded, err = toYAML(encoded)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	_, err = fmt.Fprintln(a.out, strings.TrimRight(string(encoded), "\n"))
	return trace.Wrap(err)
}

func (a *app) showTables(tables []*table) error {
	for n, t := range tables {
		if n > 0 {
			if _, err := fmt.Fprintln(a.out); err != nil {
				return trace.Wrap(err)
			}
		}
		if err := t.write(a.out); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func encode(data any) ([]byte, error) {
	message, isProto := data.(proto.Message)
	if !isProto {
		return json.MarshalIndent(data, "", "  ")
	}
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// protojson randomizes its whitespace; scripts need stable output to compare.
	return json.MarshalIndent(json.RawMessage(raw), "", "  ")
}

// toYAML converts JSON to YAML. JSON is YAML in flow style, so it is parsed as
// YAML and written in block style.
func toYAML(encoded []byte) ([]byte, error) {
	var node yaml.Node
	if err := yaml.Unmarshal(encoded, &node); err != nil {
		return nil, trace.Wrap(err)
	}
	clearFlowStyle(&node)
	out, err := yaml.Marshal(&node)
	return out, trace.Wrap(err)
}

func clearFlowStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		clearFlowStyle(child)
	}
}

func (a *app) say(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format+"\n", args...)
}

func (a *app) warn(format string, args ...any) {
	_, _ = fmt.Fprintf(a.errors, "hyssopsail: "+format+"\n", args...)
}
