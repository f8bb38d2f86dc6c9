package memoryplan

import (
	"testing"

	"gotest.tools/v3/assert"
)

// smallestMB is the memory of the smallest instance, MiB.
const smallestMB = 112

// Guards against bounds each of which holds while all together end the process by its memory.
func TestSumOfAllPartsFits(t *testing.T) {
	for _, memoryMB := range []int{smallestMB, 134, 280, 1024} {
		instance := Instance{MemoryMB: memoryMB, Descriptors: 4096}
		for name, plan := range map[string]*Plan{
			"entry": ForEntry(instance, Clients{}), "control": ForControl(instance, Clients{}), "daemon": ForDaemon(instance, Clients{}),
		} {
			assert.Check(t, plan.Fits() && plan.Sum() <= int64(memoryMB)<<20, "%s with %d MiB: all parts have %d", name, memoryMB, plan.Sum()>>20)
		}
	}
}

// Guards against a setting that lets clients have more than is left, unnoticed.
func TestPlanThatDoesNotFit(t *testing.T) {
	plan := ForEntry(Instance{MemoryMB: smallestMB}, Clients{MemoryShare: maxMemoryShare})
	assert.Check(t, !plan.Fits(), "all parts have %d MiB", plan.Sum()>>20)
}

// Guards against clients that take the descriptors with which endpoints are dialled.
func TestDescriptorsAreLeftForEndpoints(t *testing.T) {
	for _, descriptors := range []int{3075, 4100, 10250} {
		plan := ForEntry(Instance{MemoryMB: 4096, Descriptors: descriptors}, Clients{})
		clients := plan.Listener(Callers).Connections + plan.Listener(Readiness).Connections + plan.Listener(Metrics).Connections + plan.Listener(Tunnels).Connections
		assert.Check(t, clients+plan.IdleConnections() < (descriptors-fileDescriptors)*4/5, "%d of %d", clients, descriptors)
	}
}
