package outcome

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// keyDomain separates record keys from other hashes under the same secret.
const keyDomain = "hyssopsail/outcome-key/1"

// KeyFor hashes a caller's key with the fleet's secret, so that the caller's text can't
// be read from a record and the keys of different teams never share one.
func KeyFor(secret []byte, team fleet.Team, callerKey string) Key {
	mac := hmac.New(sha256.New, secret)
	for _, field := range []string{keyDomain, string(team)} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = mac.Write(size[:])
		_, _ = mac.Write([]byte(field))
	}
	_, _ = mac.Write([]byte(callerKey))
	var k Key
	copy(k[:], mac.Sum(nil))
	return k
}

// ShardOf returns the shard that holds a key's record.
func ShardOf(key Key, permitted fleet.ZoneSet) fleet.LedgerShard {
	return fleet.LedgerShard{
		ZoneClass: permitted.Class(),
		Shard:     shardNumber(key),
	}
}

func shardNumber(key Key) uint32 { return uint32(key[0]) % fleet.LedgerShards }

// String returns the hex form for logs.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

func (k Key) compare(o Key) int { return bytes.Compare(k[:], o[:]) }

func keyFromBytes(b []byte) (k Key, ok bool) {
	if len(b) != len(k) {
		return Key{}, false
	}
	copy(k[:], b)
	return k, true
}
