// Package examples holds complete example deployments; its tests check them.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

const instancesPerDeployment = 9

func load(t *testing.T, name string) *settings.Tree {
	t.Helper()
	var documents []*pb.SubtreeDocument
	paths, err := filepath.Glob(filepath.Join(name, "teams", "*.yaml"))
	assert.NilError(t, err)
	for _, path := range append(paths, filepath.Join(name, "fleet.yaml")) {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		subtree := settings.SubtreeNameOf(data)
		assert.Equal(t, path, filepath.Join(name, subtree+".yaml"))
		documents = append(documents, &pb.SubtreeDocument{Name: subtree, Version: 1, Yaml: data})
	}
	tree, err := settings.Build(documents, 1)
	assert.NilError(t, err)
	return tree
}

func TestDeployments(t *testing.T) {
	for _, name := range []string{"sutokatha", "archive"} {
		t.Run(name, func(t *testing.T) {
			tree := load(t, name)
			readme, err := os.ReadFile(filepath.Join(name, "README.md"))
			assert.NilError(t, err)
			for team := range tree.Teams {
				key := "example-" + name + "-" + string(team) + "-key"
				found, ok := tree.TeamByKey(key)
				assert.Assert(t, ok, key)
				assert.Equal(t, found.Name, team)
				assert.Assert(t, strings.Contains(string(readme), key))
			}
			for _, operator := range tree.Fleet.Operators {
				assert.Assert(t, operator.KeyHash.Matches("example-"+name+"-"+operator.Name+"-key"))
			}
			assert.Assert(t, tree.EndpointKeyMatches("example-"+name+"-endpoints-key"))
			checkDaemons(t, name, tree)
			checkLinks(t, tree)
		})
	}
}

func TestEveryFolderLoads(t *testing.T) {
	fleets, err := filepath.Glob("*/fleet.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(fleets) >= 2)
	for _, path := range fleets {
		load(t, filepath.Dir(path))
	}
}

func checkDaemons(t *testing.T, name string, tree *settings.Tree) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(name, "daemons", "*.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), instancesPerDeployment)
	zones := settingsZones(tree)
	controls := map[string]bool{}
	var listed []string
	for _, path := range paths {
		daemon, err := config.Load(path)
		assert.NilError(t, err)
		assert.Equal(t, string(daemon.InstanceID)+".yaml", filepath.Base(path))
		assert.Assert(t, zones.Permits(daemon.AvailabilityZone), path)
		listed = daemon.ControlAddresses
		if daemon.Has(config.RoleControl) {
			controls[daemon.Listeners.RPC.Advertise] = true
		}
	}
	assert.Equal(t, len(controls), 3)
	for _, address := range listed {
		assert.Assert(t, controls[address], address)
	}
}

func settingsZones(tree *settings.Tree) fleet.ZoneSet {
	var names []fleet.AvailabilityZone
	for _, zone := range tree.Fleet.Zones {
		names = append(names, zone.Name)
	}
	return fleet.NewZoneSet(names...)
}

func checkLinks(t *testing.T, tree *settings.Tree) {
	t.Helper()
	for _, from := range tree.Fleet.Zones {
		for _, to := range tree.Fleet.Zones {
			_, ok := tree.Link(from.Name, to.Name)
			assert.Assert(t, ok, "%s to %s", from.Name, to.Name)
		}
	}
}

func TestTeamPreferences(t *testing.T) {
	sutokatha, archive := load(t, "sutokatha"), load(t, "archive")
	assert.Assert(t, sutokatha.Teams["sorting"].WastedPrefillWeight > archive.Teams["research"].WastedPrefillWeight)
	bank, ok := sutokatha.Service(sutokatha.Teams["volunteers"], "bank-app")
	assert.Assert(t, ok)
	assert.Assert(t, !bank.Idempotent("POST", "/slips", false))
	catalogue, ok := archive.Service(archive.Teams["heritage-clerks"], "catalogue")
	assert.Assert(t, ok)
	assert.Assert(t, catalogue.Idempotent("GET", "/cards/7", false))
	for _, method := range []string{"POST", "PUT", "PATCH", "DELETE"} {
		assert.Assert(t, !catalogue.Idempotent(method, "/glosses/7", false), method)
	}
}
