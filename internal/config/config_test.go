package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

const good = `instance_id: howrah-1
availability_zone: howrah
roles: [entry, control]
data_folder: data
control_addresses: ["10.1.0.5:7400"]
listeners:
  rpc: {listen: "0.0.0.0:7400", advertise: "10.1.0.5:7400"}
  callers: {listen: "10.1.0.5:7401"}
  endpoints: {listen: "10.1.0.5:7402"}
  operators: {listen: "127.0.0.1:0"}
tls: {authority: a.pem, certificate: c.pem, key: /k/k.pem}
fleet_secret_file: secret.hex
bounds: {idle_timeout: 5s}
`

func TestLoad(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "daemon.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(good), 0o600))
	daemon, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, daemon.DataFolder, filepath.Join(folder, "data"))
	assert.Equal(t, daemon.TLS.Key, "/k/k.pem")
	assert.Equal(t, daemon.Bounds.IdleTimeout, 5*time.Second)
	assert.Equal(t, daemon.Bounds.Connections, DefaultDaemon().Bounds.Connections)
	instance := daemon.Instance(4)
	assert.Equal(t, instance.RPCAddress, "10.1.0.5:7400")
	assert.Equal(t, instance.CallerAddress, "10.1.0.5:7401")
	assert.Assert(t, instance.Entry && instance.Control)
	_, err = Load(path + "x")
	assert.ErrorContains(t, err, "no such file")
}

// TestRefusals checks that invalid files are refused. A key that the daemon's
// roles don't use must be refused like an unknown one, or an operator would rely
// on a setting without effect.
func TestRefusals(t *testing.T) {
	for _, row := range []struct{ name, old, new, want string }{
		{"unknown key", "data_folder:", "data_dir:", "daemon.yaml:4: data_dir: unknown key; known keys here: availability_zone,"},
		{"no roles", "[entry, control]", "[]", "roles: the daemon has no role"},
		{"unknown role", "[entry, control]", "[entry, voter]", `daemon.yaml:3: roles[1]: "voter" is not a role; choose entry or control`},
		{"role twice", "[entry, control]", "[control, control]", "roles[1]: the same role stands here again"},
		{"data folder missing", "data_folder: data\n", "", "data_folder: is missing, and the role control needs it"},
		{"data folder ignored", "[entry, control]", "[entry]", "daemon.yaml:4: data_folder: would be ignored without the role control"},
		{"certificate without key", `{listen: "10.1.0.5:7401"}`, `{listen: "10.1.0.5:7401", certificate: c.pem}`, "daemon.yaml:8: listeners.callers: has one of certificate and key"},
		{"certificate ignored", `{listen: "127.0.0.1:0"}`, `{listen: "127.0.0.1:0", certificate: c.pem, key: k.pem}`, "daemon.yaml:10: listeners.operators: would be ignored: this listener uses the files below tls"},
		{"retries without a window", "bounds:", "retries: {window: 10ms}\nbounds:", "retries.window: is out of range; choose from 1s to 10m"},
		{"callers ignored", "[entry, control]", "[control]", "daemon.yaml:8: listeners.callers: would be ignored without the role entry"},
		{"endpoints ignored", "[entry, control]", "[control]", "daemon.yaml:9: listeners.endpoints: would be ignored without the role entry"},
		{"callers missing", `  callers: {listen: "10.1.0.5:7401"}` + "\n", "", "listeners.callers.listen: is missing; write ip:port"},
		{"host name", "10.1.0.5:7401", "howrah:7401", `"howrah:7401" is not an IP number and port`},
		{"any address advertised", `, advertise: "10.1.0.5:7400"`, "", `listeners.rpc.listen: "0.0.0.0:7400" can't be dialled; write the IP number that others reach`},
		{"port shared", "10.1.0.5:7402", "10.1.0.5:7401", "listeners.endpoints: listens where listeners.callers does"},
		{"no control address", `["10.1.0.5:7400"]`, "[]", "control_addresses: has no item"},
		{"control address twice", `["10.1.0.5:7400"]`, `["10.1.0.5:7400", "10.1.0.5:7400"]`, "control_addresses[1]: the same address stands here again"},
		{"control address without port", `["10.1.0.5:7400"]`, `["10.1.0.5"]`, "control_addresses[0]: \"10.1.0.5\" is not an IP number and port"},
		{"no secret", "fleet_secret_file: secret.hex\n", "", "fleet_secret_file: is missing"},
		{"no key", ", key: /k/k.pem", "", "tls.key: is missing"},
		{"zone", "availability_zone: howrah", "availability_zone: how+rah", `availability_zone: "how+rah" is not a name`},
		{"log level", "bounds:", "log_level: loud\nbounds:", `log_level: "loud" is not a level; choose debug, info, warn or error`},
		{"bound", "idle_timeout: 5s", "idle_timeout: 5ms", "daemon.yaml:13: bounds.idle_timeout: is out of range; choose from 1s to 1h"},
	} {
		t.Run(row.name, func(t *testing.T) {
			assert.Assert(t, cmp.Contains(good, row.old))
			_, err := Parse("daemon.yaml", []byte(strings.Replace(good, row.old, row.new, 1)))
			assert.ErrorContains(t, err, row.want)
		})
	}
}

func TestSecret(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Repeat("ab", SecretBytes)+"\n"), 0o600))
	secret, err := LoadSecret(path)
	assert.NilError(t, err)
	assert.Equal(t, secret.Hex(), strings.Repeat("ab", SecretBytes))
	assert.Equal(t, secret.String(), "(secret)")
	assert.NilError(t, os.WriteFile(path, []byte("abcd"), 0o600))
	_, err = LoadSecret(path)
	assert.ErrorContains(t, err, "must hold 32 random bytes as hex")
	assert.Assert(t, !strings.Contains(err.Error(), "abcd"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("roles: [control]\nlisteners: {rpc: {listen: '[::1]:0'}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f", data)
		var faults strictyaml.Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("refused without faults: %v", err)
		}
	})
}
