package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A record is a magic number, the length and CRC32C of its payload, and the payload. Each fsync covers one record of a
// segment, so that a whole record behind a bad one proves that the bad one was synced once.
const (
	recordMagic  = 0x62736c67
	headerBytes  = 12
	maxRecord    = 256 << 20
	crcOffset    = 8
	lengthOffset = 4
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	magicBytes = binary.LittleEndian.AppendUint32(nil, recordMagic)
)

// appendRecord appends a payload with its header.
func appendRecord(to, payload []byte) []byte {
	to = append(to, magicBytes...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(payload, castagnoli))
	return append(to, payload...)
}

// readRecord returns the payload at the start of some bytes and the record's size, false if there is no whole record.
func readRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != recordMagic {
		return nil, 0, false
	}
	length := int(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if length > maxRecord || length > len(data)-headerBytes {
		return nil, 0, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[crcOffset:]) {
		return nil, 0, false
	}
	return payload, headerBytes + length, true
}

// splitRecords returns the whole records at the start of a file and where they end; whole tells that nothing is behind
// them, later that a whole record stands behind a bad one.
func splitRecords(data []byte) (payloads [][]byte, end int, whole, later bool) {
	for end < len(data) {
		payload, size, ok := readRecord(data[end:])
		if !ok {
			return payloads, end, false, hasRecord(data[end+1:])
		}
		payloads = append(payloads, payload)
		end += size
	}
	return payloads, end, true, false
}

func hasRecord(data []byte) bool {
	for {
		at := bytes.Index(data, magicBytes)
		if at < 0 {
			return false
		}
		if _, _, ok := readRecord(data[at:]); ok {
			return true
		}
		data = data[at+1:]
	}
}
