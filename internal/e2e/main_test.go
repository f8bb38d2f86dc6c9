package e2e_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programFolder is the folder of the built programs.
var programFolder string

// raceVariable is the environment variable that has the daemons built with the
// race detector. A race is found in the daemon's log and fails the test.
const raceVariable = "HYSSOPSAIL_E2E_RACE"

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
	if os.Getenv(raceVariable) != "" {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "../../cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "can't build: %v\n%s", err, out)
		return 1
	}
	programFolder = folder
	return m.Run()
}

func programPath(name string) string { return filepath.Join(programFolder, name) }
