package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/gravitational/trace"
)

// The roles that an instance can have.
const (
	roleEntry   = "entry"
	roleControl = "control"
)

// instance is one daemon with its files and addresses. daemonFile uses its exported
// fields and methods.
type instance struct {
	ID        string
	Zone      string
	Roles     []string
	Folder    string
	Keys      string
	Control   []string // rpc addresses
	RPC       string
	Callers   string
	Endpoints string
	Operators string
	process   *process
}

var daemonFile = template.Must(template.New("daemon").Funcs(template.FuncMap{"join": strings.Join}).Parse(
	`instance_id: {{.ID}}
availability_zone: {{.Zone}}
roles: [{{join .Roles ", "}}]
{{if .IsControl}}data_folder: {{.Folder}}/data
{{end}}control_addresses: [{{range $n, $a := .Control}}{{if $n}}, {{end}}"{{$a}}"{{end}}]
listeners:
  rpc: {listen: "{{.RPC}}"}
{{if .IsEntry}}  callers: {listen: "{{.Callers}}"}
  endpoints: {listen: "{{.Endpoints}}"}
{{end}}  operators: {listen: "{{.Operators}}"}
tls:
  authority: {{.Keys}}/authority.pem
  certificate: {{.Keys}}/{{.ID}}.pem
  key: {{.Keys}}/{{.ID}}-key.pem
fleet_secret_file: {{.Keys}}/fleet-secret.hex
`))

// IsControl reports whether the instance is a voting member of the control group.
func (i *instance) IsControl() bool { return i.has(roleControl) }

// IsEntry reports whether the instance serves callers.
func (i *instance) IsEntry() bool { return i.has(roleEntry) }

func (i *instance) has(role string) bool {
	for _, r := range i.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// choosePorts selects four free ports of an IP address that no other process of the
// run uses, so that outgoing connections of other processes can't take them first.
func (i *instance) choosePorts(ip string) error {
	for _, address := range []*string{&i.RPC, &i.Callers, &i.Endpoints, &i.Operators} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return trace.Wrap(err)
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return nil
}

func (i *instance) start(bin string) error {
	var text bytes.Buffer
	if err := daemonFile.Execute(&text, i); err != nil {
		return trace.Wrap(err)
	}
	if err := os.MkdirAll(i.Folder, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	file := filepath.Join(i.Folder, "daemon.yaml")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	var err error
	i.process, err = startProcess(filepath.Join(i.Folder, "log"), nil, filepath.Join(bin, "hyssopsaild"), "--config", file)
	return trace.Wrap(err, "daemon %s", i.ID)
}

// loopbackIP returns the IP address of the n-th instance of a fleet of the run.
func loopbackIP(fleet, n int) string { return fmt.Sprintf("127.88.%d.%d", fleet%250, n+1) }
