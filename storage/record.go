package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A record is a magic number, the length and CRC32C of its payload, and the payload. Each fsync covers one record of a
// segment, so a valid record after an invalid one proves that the invalid one had been synced.
const (
	recordMagic     = 0x62736c67
	headerBytes     = 12
	maxPayloadBytes = 256 << 20
	crcOffset       = 8
	lengthOffset    = 4
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	magicBytes = binary.LittleEndian.AppendUint32(nil, recordMagic)
)

// appendRecord appends a record with the given payload to buf.
func appendRecord(buf, payload []byte) []byte {
	buf = append(buf, magicBytes...)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	return append(buf, payload...)
}

// readRecord returns the payload and the size of the record at the start of data, or false if there is no valid record.
func readRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != recordMagic {
		return nil, 0, false
	}
	length := int(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if length > maxPayloadBytes || length > len(data)-headerBytes {
		return nil, 0, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[crcOffset:]) {
		return nil, 0, false
	}
	return payload, headerBytes + length, true
}

// splitRecords returns the payloads of the valid records at the start of a file and the offset where they end. complete
// reports whether the file ends there, laterRecord whether a valid record follows an invalid one.
func splitRecords(data []byte) (payloads [][]byte, end int, complete, laterRecord bool) {
	for end < len(data) {
		payload, size, ok := readRecord(data[end:])
		if !ok {
			return payloads, end, false, containsRecord(data[end+1:])
		}
		payloads = append(payloads, payload)
		end += size
	}
	return payloads, end, true, false
}

func containsRecord(data []byte) bool {
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
