package settings

import (
	"fmt"
	"testing"
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
