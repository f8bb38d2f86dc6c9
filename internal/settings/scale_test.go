package settings

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// targetTeams is the number of teams that the project is designed for.
const targetTeams = 2100

func BenchmarkTeamChange(b *testing.B) {
	tree := treeWithTeams(b, targetTeams)
	text := fillKeyHashes(goodTeam)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := CheckChange(tree, "teams/sorters", text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFleetChange(b *testing.B) {
	tree := treeWithTeams(b, targetTeams)
	text := fillKeyHashes(goodFleet)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := CheckChange(tree, FleetSubtree, text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBuild measures what an entry does with a snapshot. tree-bytes is the
// heap memory that the tree occupies.
func BenchmarkBuild(b *testing.B) {
	documents := []*pb.SubtreeDocument{{Name: FleetSubtree, Version: 1, Yaml: fillKeyHashes(goodFleet)}}
	for i := range targetTeams {
		text := teamText(fmt.Sprintf("team-%d", i))
		documents = append(documents, &pb.SubtreeDocument{Name: TeamSubtree(fleet.Team(fmt.Sprintf("team-%d", i))), Version: 1, Yaml: text})
	}
	before := heapBytes()
	tree, err := Build(documents, 1)
	if err != nil {
		b.Fatal(err)
	}
	size := float64(heapBytes() - before)
	for b.Loop() {
		if tree, err = Build(documents, 1); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(size, "tree-bytes")
	runtime.KeepAlive(tree)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkTeamByKey(b *testing.B) {
	tree := treeWithTeams(b, targetTeams)
	key := fmt.Sprintf("team-%d", targetTeams/2)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := tree.TeamByKey(key); !ok {
			b.Fatal("not found")
		}
	}
}
