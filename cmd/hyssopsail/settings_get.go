package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// settingsGet prints or saves subtrees.
type settingsGet struct {
	app     *app
	name    string
	version uint64
	folder  string
}

func addSettingsGet(a *app, group *kingpin.CmdClause) {
	c := &settingsGet{app: a}
	command := group.Command("get", "Print a subtree's YAML with its version in the first line; without a name, list the subtrees in your scope.")
	command.Arg("subtree", "\"fleet\" or \"teams/NAME\".").StringVar(&c.name)
	command.Flag("version", "An older version.").Uint64Var(&c.version)
	command.Flag("folder", "Write each subtree to FOLDER/fleet.yaml and FOLDER/teams/NAME.yaml, ready for \"settings apply\".").StringVar(&c.folder)
	command.Action(a.commandAction(c.run))
}

func (c *settingsGet) run() error {
	documents, err := c.app.documents(&pb.GetSettingsRequest{Name: c.name, Version: c.version})
	if err != nil {
		return trace.Wrap(err)
	}
	switch {
	case c.folder != "":
		return c.save(documents)
	case c.name != "" && c.app.format == formatTable:
		_, err := c.app.out.Write(withVersion(documents[0].GetVersion(), documents[0].GetYaml()))
		return trace.Wrap(err)
	}
	return c.app.showDocuments(documents)
}

// documents requests settings. An empty reply is an error.
func (a *app) documents(request *pb.GetSettingsRequest) ([]*pb.SubtreeDocument, error) {
	client, err := a.connection.client()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reply, err := client.GetSettings(a.ctx, request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(reply.GetDocuments()) == 0 {
		return nil, trace.NotFound("no settings found for %q", request.GetName())
	}
	return reply.GetDocuments(), nil
}

func (c *settingsGet) save(documents []*pb.SubtreeDocument) error {
	for _, document := range documents {
		if len(document.GetYaml()) == 0 {
			continue
		}
		path := filepath.Join(c.folder, filepath.FromSlash(document.GetName())+".yaml")
		if !filepath.IsLocal(filepath.FromSlash(document.GetName())) {
			return trace.BadParameter("subtree %q is no file name", document.GetName())
		}
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := os.WriteFile(path, withVersion(document.GetVersion(), document.GetYaml()), 0o644); err != nil {
			return trace.ConvertSystemError(err)
		}
		c.app.say("%s", path)
	}
	return nil
}

// documentOutput is one version of a subtree, as printed.
type documentOutput struct {
	Subtree  string `json:"subtree"`
	Version  uint64 `json:"version"`
	Author   string `json:"author"`
	Accepted string `json:"accepted"`
	ChangeID string `json:"change_id"`
	Removed  bool   `json:"removed"`
	YAML     string `json:"yaml"`
}

func (a *app) showDocuments(documents []*pb.SubtreeDocument) error {
	t := &table{header: []string{"SUBTREE", "VERSION", "AUTHOR", "ACCEPTED", "BYTES", "CHANGE"}}
	shown := make([]documentOutput, len(documents))
	for n, d := range documents {
		removed := len(d.GetYaml()) == 0
		shown[n] = documentOutput{d.GetName(), d.GetVersion(), d.GetAuthor(), formatUnixMs(d.GetAcceptedUnixMs()), d.GetChangeId(), removed, string(d.GetYaml())}
		size := fmt.Sprint(len(d.GetYaml()))
		if removed {
			size = "removed"
		}
		t.add(d.GetName(), d.GetVersion(), orDash(d.GetAuthor()), formatUnixMs(d.GetAcceptedUnixMs()), size, orDash(d.GetChangeId()))
	}
	return trace.Wrap(a.show(shown, t))
}
