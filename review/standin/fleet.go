package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each has a loopback address of its own.
const (
	peerPort      = 7380
	tunnelPort    = 7381
	callerPort    = 8149
	readinessPort = 8141
	controlPort   = 8144
	directoryPort = 8143
	serverPort    = 8705
)

// platformProgram is the program that the deploy file's build leaves.
const platformProgram = "target/hyssopsail-platform"

// fleet is a small deployment: control and entry processes, and servers.
type fleet struct {
	record   *record
	folder   string
	block    string // first three numbers of the loopback addresses
	claim    net.Listener
	controls []*process
	entries  []*process
	servers  map[string]*process // by ID
	proxies  map[string]*proxy   // of servers behind one, by ID
	self     string              // this program

	mu      sync.Mutex // guards started
	started []*process
}

// process is one process that the case started.
type process struct {
	name, ip, role string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func newFleet(r *record) (*fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, self: self, servers: map[string]*process{}, proxies: map[string]*proxy{}}
	for range 200 {
		f.block = fmt.Sprintf("127.%d.%d", 90+rand.IntN(100), rand.IntN(250))
		if f.claim, err = net.Listen("tcp4", f.ip(254)+":7390"); err == nil {
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("%s.%d", f.block, host) }

// start starts the control and entry processes, with the settings that the deploy file's template
// makes of the small site's fields.
func (f *fleet) start(controls, entries int) error {
	for n := range controls {
		f.controls = append(f.controls, &process{name: fmt.Sprintf("core-%d", n), ip: f.ip(1 + n), role: "control"})
	}
	for n := range entries {
		f.entries = append(f.entries, &process{name: fmt.Sprintf("edge-%d", n), ip: f.ip(50 + n), role: "entry"})
	}
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if err := f.startDaemon(p, true); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startDaemon(p *process, bootstrap bool) error {
	folder := filepath.Join(f.folder, p.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o755); err != nil {
		return err
	}
	file := filepath.Join(folder, "settings.yaml")
	if err := os.WriteFile(file, []byte(f.settings(p, bootstrap)), 0o600); err != nil {
		return err
	}
	return f.launch(p, []string{"HYSSOPSAIL_CONFIG=" + file}, platformProgram, p.role)
}

// launch starts a program with its output in a file of the temporary folder.
func (f *fleet) launch(p *process, env []string, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a copy
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // a killed process ends with an error
		close(exited)
	}(p.cmd, p.exited)
	f.mu.Lock()
	f.started = append(f.started, p)
	f.mu.Unlock()
	f.record.add("started %s (pid %d)", p.name, p.cmd.Process.Pid)
	return nil
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// settings returns a settings file like that of deploy/settings.yaml, with the bounds of the site.
func (f *fleet) settings(p *process, bootstrap bool) string {
	listen := fmt.Sprintf("  callers: %q\n  readiness: %q\n  control: \"\"\n  addresses: \"\"\n", at(p.ip, callerPort), at(p.ip, readinessPort))
	if p.role == "control" {
		listen = fmt.Sprintf("  callers: \"\"\n  readiness: \"\"\n  control: %q\n  addresses: %q\n", at(p.ip, controlPort), at(p.ip, directoryPort))
	}
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", at(c.ip, controlPort)))
	}
	return fmt.Sprintf(`instance: %q
ip: %q
availability_zone: "howrah"
region: "bengal"
listen:
%s  peers: ""
peer_port: %d
tunnel_port: %d
seeds: [%s]
bootstrap: %t
data_folder: %q
memory_mb: 134
metrics_port: 9464
endpoint_heartbeat_ms: 1200
stop_within_s: 8
address_keep_s: 5
retry_ratio: 0.2
retry_window_s: 10
retry_slack: 54
apply_within_ms: 2000
revoke_within_ms: 0
quota_window_s: 0
quota_overrun: 0
quota_slack: 0
order_lease_ms: 3000
tolerance: 1
without: []
`, p.name, p.ip, listen, peerPort, tunnelPort, strings.Join(seeds, ", "), bootstrap, filepath.Join(f.folder, p.name, "data"))
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// startServer starts a server as a process of its own.
func (f *fleet) startServer(o serverOptions) error {
	for _, c := range f.controls {
		o.Controls = append(o.Controls, at(c.ip, controlPort))
	}
	o.Record, o.BeganMs = filepath.Join(f.folder, o.ID+".events"), f.record.began.UnixMilli()
	data, err := json.Marshal(o)
	if err != nil {
		return err
	}
	p := &process{name: o.ID, ip: o.IP, role: "server"}
	f.servers[o.ID] = p
	return f.launch(p, nil, f.self, "server", string(data))
}

// putConfig sends a configuration as the operator does, until it is confirmed.
func (f *fleet) putConfig(config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, c := range f.controls {
			if status, _ := call(http.MethodPut, "http://"+at(c.ip, controlPort)+"/config", body); status == http.StatusOK {
				f.record.add("operator: configuration %v confirmed by %s", config["version"], c.name)
				return nil
			}
		}
	}
	return errors.New("the configuration isn't confirmed")
}

// call makes one call with a timeout of a second, as callers of control do.
func call(method, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // read whole
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, data
}

// awaitReady waits until all entries say that they are ready, and callers get addresses.
func (f *fleet) awaitReady() error {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if status, _ := call(http.MethodGet, "http://"+at(e.ip, readinessPort)+"/readyz", nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) && len(f.resolve()) == len(f.entries) {
			return nil
		}
	}
	return errors.New("the entries don't get ready")
}

// resolve asks for the addresses of entries, as clients do.
func (f *fleet) resolve() []string {
	for _, c := range f.controls {
		status, data := call(http.MethodGet, "http://"+at(c.ip, directoryPort)+"/resolve?name="+host+"&region=bengal&zone=howrah", nil)
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// end ends all processes that this case started.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.started {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.started {
		<-p.exited
	}
	for _, p := range f.proxies {
		_ = p.listener.Close() // nothing more is accepted
	}
	_ = f.claim.Close() // nothing is accepted there
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}
