package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the platform's example settings. Each process has a loopback address of its own.
const (
	peerPort      = 7380
	tunnelPort    = 7395
	callerPort    = 8149
	readinessPort = 8141
	controlPort   = 8144
	directoryPort = 8143
	claimHost     = 254
	program       = "target/hyssopsail-platform"
)

// Bounds of the users' small deployments.
const (
	contactWindow = 3 * time.Second
	drainTime     = 2 * time.Second
	graceTime     = 8 * time.Second
	configApply   = 2 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

// fleet is a small deployment of the platform's programs as separate processes.
type fleet struct {
	record   *record
	block    int
	claim    net.Listener
	folder   string
	controls []*process
	entries  []*process
}

// process is one process of the platform's program.
type process struct {
	fleet *fleet
	name  string
	role  string
	ip    string

	mu     sync.Mutex // guards the fields below
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// newFleet claims free loopback addresses and names the processes; start starts them.
func newFleet(r *record, controls, entries int) (*fleet, error) {
	f := &fleet{record: r}
	for n := range 250 {
		f.block = (os.Getpid() + n) % 250
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", f.ip(claimHost), peerPort))
		if err == nil {
			f.claim = listener
			break
		}
	}
	if f.claim == nil {
		return nil, errors.New("no free loopback addresses")
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f.folder = folder
	f.endOnSignal()
	for n := range controls {
		f.controls = append(f.controls, &process{fleet: f, name: fmt.Sprintf("core-%d", n), role: "control", ip: f.ip(1 + n)})
	}
	for n := range entries {
		f.entries = append(f.entries, &process{fleet: f, name: fmt.Sprintf("edge-%d", n), role: "entry", ip: f.ip(51 + n)})
	}
	return f, nil
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("127.83.%d.%d", f.block, host) }

func (f *fleet) processes() []*process {
	return append(append([]*process{}, f.controls...), f.entries...)
}

// start starts all processes for the first time.
func (f *fleet) start() error {
	for _, p := range f.processes() {
		if err := os.MkdirAll(filepath.Join(f.folder, p.name, "data"), 0o755); err != nil {
			return err
		}
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// end kills all processes and removes their folders.
func (f *fleet) end() {
	for _, p := range f.processes() {
		p.kill()
	}
	_ = f.claim.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		f.record.logf("folder kept: %s", filepath.Base(f.folder))
	}
}

// endOnSignal ends all processes if this one is told to stop.
func (f *fleet) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.end()
		os.Exit(exitNotRun)
	}()
}

// settings returns what deploy/settings.yaml makes of the settings of a small deployment.
func (p *process) settings(bootstrap bool) string {
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	listen := fmt.Sprintf("  callers: %q\n  readiness: %q\n  control: \"\"\n  addresses: \"\"\n  peers: \"\"\n", at(callerPort), at(readinessPort))
	data, memory := "", 134
	if p.role == "control" {
		listen = fmt.Sprintf("  callers: \"\"\n  readiness: \"\"\n  control: %q\n  addresses: %q\n  peers: \"\"\n", at(controlPort), at(directoryPort))
		data, memory = filepath.Join(p.fleet.folder, p.name, "data"), 280
	}
	var seeds []string
	for _, c := range p.fleet.controls[:min(3, len(p.fleet.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, controlPort)))
	}
	return fmt.Sprintf(`instance: %q
ip: %q
availability_zone: "howrah"
region: "bengal"
listen:
%speer_port: %d
tunnel_port: %d
seeds: [%s]
bootstrap: %t
data_folder: %q
memory_mb: %d
metrics_port: 9464
endpoint_heartbeat_ms: %d
stop_within_s: %d
address_keep_s: 5
retry_ratio: 0.2
retry_window_s: 10
retry_slack: 54
apply_within_ms: %d
revoke_within_ms: 0
quota_window_s: 0
quota_overrun: 0
quota_slack: 0
order_lease_ms: 3000
tolerance: 1
without: []
`, p.name, p.ip, listen, peerPort, tunnelPort, strings.Join(seeds, ","), bootstrap, data, memory,
		heartbeatTime.Milliseconds(), int(graceTime.Seconds()), configApply.Milliseconds())
}

func (p *process) start(bootstrap bool) error {
	file := filepath.Join(p.fleet.folder, p.name, "settings.yaml")
	if err := os.WriteFile(file, []byte(p.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	log, err := os.Create(filepath.Join(p.fleet.folder, p.name, fmt.Sprintf("%d.log", p.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(program, p.role)
	cmd.Env = append(os.Environ(), "HYSSOPSAIL_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the status of a killed process doesn't matter
		_ = log.Close()
		close(exited)
	}()
	p.fleet.record.logf("%s starts", p.name)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.fleet.record.logf("%s gets %v", p.name, s)
		_ = p.cmd.Process.Signal(s) // fails only if it has ended
	}
}

// pid returns the process's id.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// isRunning reports whether the process has not ended.
func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, e := range f.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// putConfig sends a configuration, as an operator does, until it is acknowledged.
func (f *fleet) putConfig(config string, within time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(within)
	for n := 0; time.Now().Before(deadline); n++ {
		at := f.controls[n%len(f.controls)]
		request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/config", at.ip, controlPort), bytes.NewReader([]byte(config)))
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		body, _ := io.ReadAll(response.Body) // only shown
		_ = response.Body.Close()
		f.record.logf("operator sends a configuration to %s: %d", at.name, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			return nil
		}
		if response.StatusCode < http.StatusInternalServerError {
			return fmt.Errorf("the configuration is refused: %s", body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration is not acknowledged")
}
