package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func digestOf(id string, incarnation, sequence uint64) *pb.EndpointDigest {
	return &pb.EndpointDigest{Id: id, Incarnation: incarnation, AvailabilityZone: string(zoneNear), Address: "127.0.0.1:9",
		Role: "decode", Models: []string{model.String()}, Slots: 4, Sequence: sequence}
}

func listOf(home fleet.Owner, sequence uint64, digests ...*pb.EndpointDigest) *pb.DigestReply {
	return &pb.DigestReply{Home: home.Proto(), Sequence: sequence, StaticVersion: 5, CacheVersion: 5, Digests: digests}
}

// A crashed engine would be used again because an old digest arrived late,
// after a newer one, or from the home's process before its restart.
func TestLateDigestsDoNotRestoreEndpoints(t *testing.T) {
	home := fleet.Owner{Instance: "a", Incarnation: 2}
	earlier := fleet.Owner{Instance: "a", Incarnation: 1}
	for name, applyLate := range map[string]func(p *followedHomes){
		"late list":                  func(p *followedHomes) { p.mergeReply(epoch, home, listOf(home, 3, digestOf("e1", 1, 3))) },
		"the same list again":        func(p *followedHomes) { p.mergeReply(epoch, home, listOf(home, 10, digestOf("e1", 1, 10))) },
		"list of an earlier process": func(p *followedHomes) { p.mergeReply(epoch, earlier, listOf(earlier, 99, digestOf("e1", 1, 99))) },
		"list of another than asked": func(p *followedHomes) {
			other := fleet.Owner{Instance: "b", Incarnation: 1}
			p.mergeReply(epoch, home, listOf(other, 99, digestOf("e1", 1, 99)))
		},
		"brief digest of a dead one": func(p *followedHomes) {
			brief := digestOf("e1", 1, 11)
			brief.Brief = true
			p.mergeReply(epoch, home, listOf(home, 11, brief))
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newFollowedHomes()
			p.mergeReply(epoch, home, listOf(home, 5, digestOf("e1", 1, 5)))
			assert.Equal(t, len(p.endpoints()), 1)
			p.mergeReply(epoch, home, listOf(home, 10))
			applyLate(p)
			assert.Equal(t, len(p.endpoints()), 0)
		})
	}
}

func TestLateDigestsAreIgnored(t *testing.T) {
	r := newFollowedEndpoint(digestOf("e1", 2, 0), fleet.Owner{})
	with := func(incarnation, sequence uint64, granted uint32) *pb.EndpointDigest {
		d := digestOf("e1", incarnation, sequence)
		d.Granted = granted
		return d
	}
	r.update(epoch, with(2, 7, 3), 2)
	r.update(epoch, with(2, 6, 1), 2)
	r.update(epoch, with(1, 9, 0), 1)
	var c Candidate
	assert.Assert(t, r.fill(epoch, &c))
	assert.Equal(t, c.Granted, 3)
	r.inFlight.Add(1)
	r.fill(epoch, &c)
	assert.Equal(t, c.Granted, 4)
	assert.Assert(t, !r.fill(epoch.Add(maxDigestAge+time.Millisecond), &c))
}

// A restarted home counts its versions anew. A brief list from it must not be
// applied to the endpoints that its earlier process listed.
func TestRestartedHomeIsAskedForTheFullList(t *testing.T) {
	p := newFollowedHomes()
	old, restarted := fleet.Owner{Instance: "a", Incarnation: 1}, fleet.Owner{Instance: "a", Incarnation: 2}
	p.mergeReply(epoch, old, listOf(old, 5, digestOf("e1", 1, 5)))
	staticVersion, _ := p.versions(restarted)
	assert.Equal(t, staticVersion, uint64(0))
	brief := digestOf("e1", 1, 6)
	brief.Brief = true
	p.mergeReply(epoch, restarted, listOf(restarted, 1, brief))
	staticVersion, _ = p.versions(restarted)
	assert.Equal(t, staticVersion, uint64(0), "an incomplete list is requested again")
}

func TestFollowedHomes(t *testing.T) {
	var list []fleet.Instance
	for n := range 130 {
		list = append(list, instance(fmt.Sprint("near", n), zoneNear), instance(fmt.Sprint("far", n), zoneFar))
	}
	self := instance("self", zoneNear)
	homes := homesToFollow(self, viewOf(1, list...), 64)
	near := 0
	for _, h := range homes {
		if h.Zone == zoneNear {
			near++
		}
	}
	assert.Equal(t, len(homes), 64)
	assert.Assert(t, near >= 32 && near < 64, "%d of 64 near", near)
	assert.Equal(t, len(homesToFollow(self, viewOf(1, list[:9]...), 64)), 9)
}
