package settings

import (
	"errors"
	"strconv"
	"strings"
)

// unit is a byte unit: its suffix and the number of bytes.
type unit struct {
	suffix string
	factor int64
}

// byteUnits are tried in order; "B" comes last because it is a suffix of the others.
var byteUnits = []unit{
	{"TB", 1e12},
	{"GB", 1e9},
	{"MB", 1e6},
	{"KB", 1e3},
	{"B", 1},
}

const maxInt64 = 1<<63 - 1

// UnmarshalScalar implements strictyaml.ScalarUnmarshaler.
func (r *ByteRate) UnmarshalScalar(text string) error {
	size, isRate := strings.CutSuffix(text, "/s")
	value, ok := parseBytes(size)
	if !isRate || !ok {
		return errors.New("write a rate such as 500MB/s or 10GB/s (B, KB, MB, GB or TB a second)")
	}
	*r = ByteRate(value)
	return nil
}

// String returns the form that UnmarshalScalar parses.
func (r ByteRate) String() string { return formatBytes(int64(r)) + "/s" }

// UnmarshalScalar implements strictyaml.ScalarUnmarshaler.
func (s *ByteSize) UnmarshalScalar(text string) error {
	value, ok := parseBytes(text)
	if !ok {
		return errors.New("write a size such as 64KB or 128MB (B, KB, MB, GB or TB)")
	}
	*s = ByteSize(value)
	return nil
}

// String returns the form that UnmarshalScalar parses.
func (s ByteSize) String() string { return formatBytes(int64(s)) }

// parseBytes parses digits with a byte unit. ok is false for other text and for
// a value that overflows int64.
func parseBytes(text string) (value int64, ok bool) {
	for _, u := range byteUnits {
		digits, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || count > maxInt64/uint64(u.factor) {
			return 0, false
		}
		return int64(count) * u.factor, true
	}
	return 0, false
}

func formatBytes(value int64) string {
	for _, u := range byteUnits {
		if value >= u.factor && value%u.factor == 0 {
			return strconv.FormatInt(value/u.factor, 10) + u.suffix
		}
	}
	return "0B"
}
