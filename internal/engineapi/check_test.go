package engineapi

import (
	"encoding/json"
	"net/url"
	"strings"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"gotest.tools/v3/assert"
)

func announcement() Announcement {
	return Announcement{
		ID: "engine-1", Incarnation: 1, Zone: "howrah", Address: "10.0.0.1:8000",
		Role: fleet.RoleDecode, Models: []ModelRef{{Model: "fibre", Version: "1"}}, Slots: 20,
	}
}

func TestAnnouncementCheck(t *testing.T) {
	assert.NilError(t, announcement().Check())
	for name, invalidate := range map[string]func(*Announcement){
		"no ID":             func(a *Announcement) { a.ID = "" },
		"long ID":           func(a *Announcement) { a.ID = fleet.EndpointID(strings.Repeat("x", 300)) },
		"no zone":           func(a *Announcement) { a.Zone = "" },
		"no incarnation":    func(a *Announcement) { a.Incarnation = 0 },
		"no port":           func(a *Announcement) { a.Address = "10.0.0.1" },
		"port 0":            func(a *Announcement) { a.Address = "10.0.0.1:0" },
		"no host":           func(a *Announcement) { a.Address = ":80" },
		"address with path": func(a *Announcement) { a.Address = "10.0.0.1/x:80" },
		"address with user": func(a *Announcement) { a.Address = "a@10.0.0.1:80" },
		"name in brackets":  func(a *Announcement) { a.Address = "[0]:80" },
		"no IPv6 number":    func(a *Announcement) { a.Address = "[::x]:80" },
		"IPv6 with zone":    func(a *Announcement) { a.Address = "[fe80::1%eth0]:80" },
		"no slots":          func(a *Announcement) { a.Slots = 0 },
		"many slots":        func(a *Announcement) { a.Slots = 1 << 30 },
		"negative memory":   func(a *Announcement) { a.KVBytes = -1 },
		"unknown role":      func(a *Announcement) { a.Role = "cook" },
		"nameless model":    func(a *Announcement) { a.Models[0].Model = "" },
		"many models":       func(a *Announcement) { a.Models = make([]ModelRef, 300) },
		"long software":     func(a *Announcement) { a.Software = strings.Repeat("1", 300) },
		"no service":        func(a *Announcement) { a.Role = fleet.RolePlain },
	} {
		t.Run(name, func(t *testing.T) {
			a := announcement()
			invalidate(&a)
			assert.Assert(t, a.Check() != nil)
		})
	}
}

func FuzzAnnouncement(f *testing.F) {
	whole, err := json.Marshal(announcement())
	assert.NilError(f, err)
	f.Add(whole)
	f.Add([]byte(`{"id":"x","address":"[::1]:1","slots":1,"role":"plain","service":"s","availability_zone":"z","incarnation":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a Announcement
		if json.Unmarshal(data, &a) != nil || a.Check() != nil {
			return
		}
		parsed, err := url.Parse("http://" + a.Address + "/v1/held")
		assert.NilError(t, err)
		assert.Equal(t, parsed.Path, "/v1/held")
		assert.Assert(t, parsed.User == nil)
		assert.Equal(t, parsed.Host, a.Address)
	})
}

func TestPrefixHashes(t *testing.T) {
	model := ModelRef{Model: "fibre", Version: "1"}
	block := strings.Repeat("a", PrefixBlockBytes)
	one := PrefixHashes(model, block+"tail")
	two := PrefixHashes(model, block+block)
	assert.Equal(t, len(one), 1)
	assert.Equal(t, len(two), 2)
	assert.Equal(t, one[0], two[0])
	assert.Assert(t, one[0] != two[1])
	other := PrefixHashes(ModelRef{Model: "fibre", Version: "2"}, block)
	assert.Assert(t, other[0] != one[0])
	assert.Equal(t, len(PrefixHashes(model, "short")), 0)
}
