package replica

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// childVariable makes the test binary run as one node: its value is a
// childConfig in JSON.
const childVariable = "HYSSOPSAIL_TEST_NODE"

// childConfig is the configuration of a child process.
type childConfig struct {
	Dir, Address string
	Keys         rpc.TLSFiles
}

func TestMain(m *testing.M) {
	if text := os.Getenv(childVariable); text != "" {
		var config childConfig
		panicOnError(json.Unmarshal([]byte(text), &config))
		runChild(config)
		return
	}
	os.Exit(m.Run())
}

// runChild runs a node and answers requests, one per line, until the end of
// standard input.
func runChild(c childConfig) {
	listener, err := net.Listen("tcp", c.Address)
	panicOnError(err)
	config, err := rpc.LoadTLS(c.Keys)
	panicOnError(err)
	state := &commandLog{}
	node, _, err := serve(context.Background(), config, listener, c.Dir, filepath.Base(c.Dir), state)
	panicOnError(err)
	fmt.Println(node.DiskID(), listener.Addr())
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		fmt.Println(handleRequest(node, state, lines.Text()))
	}
}

func panicOnError(err error) {
	if err != nil {
		panic(err)
	}
}

func handleRequest(node *Node, state *commandLog, line string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	verb, rest, _ := strings.Cut(line, " ")
	var err error
	switch verb {
	case "init":
		var members []*pb.Member
		panicOnError(json.Unmarshal([]byte(rest), &members))
		err = node.Init("fleet", members)
	case "propose":
		_, err = node.Propose(ctx, []byte(rest))
	case "read":
		if err = node.ReadBarrier(ctx); err == nil {
			return "ok " + strings.Join(state.list(), ",")
		}
	}
	if err != nil {
		return "error " + err.Error()
	}
	return "ok"
}

// child is a node in its own process.
type child struct {
	t       *testing.T
	config  childConfig
	diskID  string
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Scanner
}

func startChild(t *testing.T, c *child) {
	config, err := json.Marshal(c.config)
	assert.NilError(t, err)
	c.command = exec.Command(os.Args[0])
	c.command.Env = append(os.Environ(), childVariable+"="+string(config))
	c.command.Stderr = os.Stderr
	c.input, err = c.command.StdinPipe()
	assert.NilError(t, err)
	output, err := c.command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.command.Start())
	c.output = bufio.NewScanner(output)
	assert.Assert(t, c.output.Scan(), "the child did not start")
	c.diskID, c.config.Address, _ = strings.Cut(c.output.Text(), " ")
	t.Cleanup(c.kill)
}

func (c *child) kill() {
	_ = c.command.Process.Kill()
	_ = c.command.Wait()
}

func (c *child) send(line string) {
	_, err := fmt.Fprintln(c.input, line)
	assert.NilError(c.t, err)
}

// ask sends a request and returns the answer, or "" if the process ended first.
func (c *child) ask(line string) string {
	c.send(line)
	return c.answer()
}

func (c *child) answer() string {
	if !c.output.Scan() {
		return ""
	}
	return c.output.Text()
}

func startChildren(t *testing.T) []*child {
	base := t.TempDir()
	keys := testkit.WriteKeys(t, base, "all")
	var children []*child
	var members []*pb.Member
	for _, name := range []string{"a", "b", "c"} {
		c := &child{t: t, config: childConfig{Dir: filepath.Join(base, name), Address: "127.0.0.1:0", Keys: keys}}
		startChild(t, c)
		children = append(children, c)
		members = append(members, &pb.Member{InstanceId: name, DiskId: c.diskID, RpcAddress: c.config.Address})
	}
	data, err := json.Marshal(members)
	assert.NilError(t, err)
	assert.Equal(t, children[0].ask("init "+string(data)), "ok")
	return children
}

// waitForLeadingChild waits until one of children answers a read, and returns it
// with the state that it read.
func waitForLeadingChild(t *testing.T, children []*child) (leader *child, state string) {
	leader = waitForOne(t, 30*time.Second, children, func(c *child) bool {
		answer := c.ask("read")
		state = strings.TrimPrefix(answer, "ok ")
		return strings.HasPrefix(answer, "ok")
	})
	return leader, state
}

// waitForOne polls until ok returns true for one of all, and returns that one.
func waitForOne[T any](t testing.TB, limit time.Duration, all []T, ok func(T) bool) T {
	t.Helper()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); <-poll.C {
		if n := slices.IndexFunc(all, ok); n >= 0 {
			return all[n]
		}
	}
	t.Fatalf("none of %d within %s", len(all), limit)
	panic("unreachable")
}

// without returns all elements except excluded.
func without[T comparable](all []T, excluded T) []T {
	return slices.DeleteFunc(slices.Clone(all), func(one T) bool { return one == excluded })
}

// The leader's process is suspended (SIGSTOP) for longer than its lease with a
// read and a change in its input, while another leader commits. When it resumes,
// the read must not return the outdated state, and the change must not be
// confirmed.
func TestStoppedProcess(t *testing.T) {
	children := startChildren(t)
	old, _ := waitForLeadingChild(t, children)
	assert.Equal(t, old.ask("propose before"), "ok")
	testkit.Freeze(t, old.command.Process)
	old.send("read")
	old.send("propose late")
	next, _ := waitForLeadingChild(t, without(children, old))
	assert.Equal(t, next.ask("propose meanwhile"), "ok")
	assert.NilError(t, old.command.Process.Signal(syscall.SIGCONT))
	for _, request := range []string{"read", "change"} {
		answer := old.answer()
		assert.Assert(t, strings.HasPrefix(answer, "error"), "%s: %q", request, answer)
	}
	_, state := waitForLeadingChild(t, children)
	assert.Equal(t, state, "before,meanwhile")
}

// Leaders are repeatedly killed (SIGKILL) with a change in flight, and restarted.
// Each confirmed change must be there once and in order.
func TestKilledProcesses(t *testing.T) {
	children := startChildren(t)
	var confirmed []string
	for round := range 4 {
		leader, _ := waitForLeadingChild(t, children)
		for i := range 20 {
			command := fmt.Sprintf("%d-%d", round, i)
			assert.Equal(t, leader.ask("propose "+command), "ok")
			confirmed = append(confirmed, command)
		}
		leader.send("propose lost")
		leader.kill()
		startChild(t, leader)
	}
	_, state := waitForLeadingChild(t, children)
	var found []string
	for command := range strings.SplitSeq(state, ",") {
		if command != "lost" {
			found = append(found, command)
		}
	}
	assert.DeepEqual(t, found, confirmed)
}
