package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream.
type Key [8]byte

// Uint64 returns the key as a number; 0 for the zero key.
func (k Key) Uint64() uint64 { return binary.BigEndian.Uint64(k[:]) }

// KeyOf returns the key of the stream that a request began. team is empty where callers need no
// key. exchange is the ID of the request.
func KeyOf(team, host, exchange string) Key {
	h := sha256.New()
	for _, part := range []string{team, host, exchange} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// EndpointSum is a checksum of an endpoint's ID. Two endpoints with the same one are taken for
// each other, which makes more streams doubtful, and none less.
type EndpointSum uint32

// SumOf returns the checksum of an endpoint's ID.
func SumOf(endpoint string) EndpointSum { return EndpointSum(xxhash.Sum64String(endpoint)) }
