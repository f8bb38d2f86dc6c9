package e2e_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the folder of the built programs.
var programs string

// raceDaemons is the environment variable with which the daemons are built
// with the race detector; a race then fails the test by the daemon's log.
const raceDaemons = "HYSSOPSAIL_E2E_RACE"

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "hyssopsail-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	arguments := []string{"build", "-o", folder + string(filepath.Separator)}
	if os.Getenv(raceDaemons) != "" {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "../../cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "can't build: %v\n%s", err, out)
		return 1
	}
	programs = folder
	return m.Run()
}

func program(name string) string { return filepath.Join(programs, name) }
