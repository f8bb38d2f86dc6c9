package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A record on disk, integers little endian:
//
//	magic    4 bytes
//	length   4 bytes, of the payload
//	number   8 bytes, consecutive over all segments
//	checksum 4 bytes, CRC-32C of salt, length, number and payload
//	payload
//
// The salt is the disk ID, so that a record of another disk, or one inside
// stored data, is not accepted as a valid record.
const (
	recordHeaderBytes = 20
	maxPayloadBytes   = 1<<30 + 1<<20 // the largest snapshot and its metadata
)

var (
	recordMagic = [4]byte{0x9e, 'h', 's', 0xa1}
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

var errBadRecord = errors.New("no valid record")

// record is one decoded record.
type record struct {
	number  uint64
	payload []byte
	size    int // bytes on disk
}

func checksum(salt string, header, payload []byte) uint32 {
	sum := crc32.Checksum([]byte(salt), castagnoli)
	sum = crc32.Update(sum, castagnoli, header[4:16])
	return crc32.Update(sum, castagnoli, payload)
}

// appendRecord appends an encoded record to buffer.
func appendRecord(buffer []byte, salt string, number uint64, payload []byte) []byte {
	var header [recordHeaderBytes]byte
	copy(header[:], recordMagic[:])
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], number)
	binary.LittleEndian.PutUint32(header[16:], checksum(salt, header[:], payload))
	buffer = append(buffer, header[:]...)
	return append(buffer, payload...)
}

// decodeRecord decodes the record at the start of data. The payload shares the
// memory of data.
func decodeRecord(data []byte, salt string) (record, error) {
	if len(data) < recordHeaderBytes || !bytes.Equal(data[:4], recordMagic[:]) {
		return record{}, errBadRecord
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxPayloadBytes || int(length) > len(data)-recordHeaderBytes {
		return record{}, errBadRecord
	}
	payload := data[recordHeaderBytes : recordHeaderBytes+int(length)]
	if checksum(salt, data[:recordHeaderBytes], payload) != binary.LittleEndian.Uint32(data[16:]) {
		return record{}, errBadRecord
	}
	number := binary.LittleEndian.Uint64(data[8:])
	return record{number: number, payload: payload, size: recordHeaderBytes + int(length)}, nil
}

// findRecord returns the offset of the first valid record anywhere in data, or
// -1.
func findRecord(data []byte, salt string) int {
	for from := 0; ; {
		i := bytes.Index(data[from:], recordMagic[:])
		if i < 0 {
			return -1
		}
		if _, err := decodeRecord(data[from+i:], salt); err == nil {
			return from + i
		}
		from += i + 1
	}
}
