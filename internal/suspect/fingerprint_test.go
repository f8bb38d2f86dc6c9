package suspect

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func TestFingerprint(t *testing.T) {
	same := FingerprintOf([]byte("s"), "tainan", "gloss", []byte("verse"))
	assert.Equal(t, same, FingerprintOf([]byte("s"), "tainan", "gloss", []byte("verse")))
	others := []fleet.Fingerprint{
		FingerprintOf([]byte("t"), "tainan", "gloss", []byte("verse")),
		FingerprintOf([]byte("s"), "tainang", "loss", []byte("verse")),
		FingerprintOf([]byte("s"), "tainan", "glossv", []byte("erse")),
	}
	for _, o := range others {
		assert.Assert(t, o != same)
	}
}
