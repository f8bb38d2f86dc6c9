package settings

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The size of the target: 2,100 teams.
const targetTeams = 2100

func BenchmarkTeamChange(b *testing.B) {
	tree := manyTeams(b, targetTeams)
	text := fill(goodTeam)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := CheckChange(tree, "teams/sorters", text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFleetChange(b *testing.B) {
	tree := manyTeams(b, targetTeams)
	text := fill(goodFleet)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := CheckChange(tree, FleetSubtree, text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBuild is what an entry does with a snapshot. tree-bytes is the heap
// that the tree keeps.
func BenchmarkBuild(b *testing.B) {
	documents := []*pb.SubtreeDocument{{Name: FleetSubtree, Version: 1, Yaml: fill(goodFleet)}}
	for i := range targetTeams {
		text := teamText(fmt.Sprintf("team-%d", i))
		documents = append(documents, &pb.SubtreeDocument{Name: TeamSubtree(fleet.Team(fmt.Sprintf("team-%d", i))), Version: 1, Yaml: text})
	}
	before := heap()
	tree, err := Build(documents, 1)
	if err != nil {
		b.Fatal(err)
	}
	size := float64(heap() - before)
	for b.Loop() {
		if tree, err = Build(documents, 1); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(size, "tree-bytes")
	runtime.KeepAlive(tree)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkTeamByKey(b *testing.B) {
	tree := manyTeams(b, targetTeams)
	key := fmt.Sprintf("team-%d", targetTeams/2)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := tree.TeamByKey(key); !ok {
			b.Fatal("not found")
		}
	}
}
