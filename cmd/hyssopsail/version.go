package main

import (
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssopsail/hyssopsail/internal/version"
)

// buildInfo is the program's version and build information.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Time     string `json:"time"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

func addVersion(a *app, parser *kingpin.Application) {
	command := parser.Command("version", "Print the version with its build information.")
	command.Action(a.commandAction(func() error {
		info := readBuildInfo()
		t := &table{header: []string{"VERSION", "REVISION", "TIME", "MODIFIED", "GO"}}
		t.add(info.Version, orDash(info.Revision), orDash(info.Time), info.Modified, info.Go)
		return a.show(info, t)
	}))
}

func readBuildInfo() buildInfo {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return buildInfo{Version: version.Version}
	}
	info := buildInfo{Version: version.Version, Go: build.GoVersion}
	for _, s := range build.Settings {
		switch s.Key {
		case "vcs.revision":
			info.Revision = s.Value
		case "vcs.time":
			info.Time = s.Value
		case "vcs.modified":
			info.Modified = s.Value == "true"
		}
	}
	return info
}
