package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

const (
	frameMarker     = 0x73667231 // "sfr1"
	frameHeaderSize = 24
	sectorSize      = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameHeader is the decoded header of a frame. The length is the size of the records in bytes, and the sequence is the
// number of frames before this one in the log.
type frameHeader struct {
	length   uint32
	sequence uint64
	checksum uint32
}

func encodeFrame(sequence uint64, records [][]byte) []byte {
	frame := make([]byte, frameHeaderSize, frameHeaderSize+recordsSize(records))
	for _, record := range records {
		frame = binary.AppendUvarint(frame, uint64(len(record)))
		frame = append(frame, record...)
	}
	body := frame[frameHeaderSize:]
	binary.LittleEndian.PutUint32(frame[0:], frameMarker)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(frame[8:], sequence)
	binary.LittleEndian.PutUint32(frame[16:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(frame[20:], crc32.Checksum(frame[:20], castagnoli))
	return frame
}

func recordsSize(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += binary.MaxVarintLen32 + len(record)
	}
	return size
}

func decodeFrameHeader(data []byte) (frameHeader, bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMarker {
		return frameHeader{}, false
	}
	if binary.LittleEndian.Uint32(data[20:]) != crc32.Checksum(data[:20], castagnoli) {
		return frameHeader{}, false
	}
	return frameHeader{
		length:   binary.LittleEndian.Uint32(data[4:]),
		sequence: binary.LittleEndian.Uint64(data[8:]),
		checksum: binary.LittleEndian.Uint32(data[16:]),
	}, true
}

func decodeRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		length, n := binary.Uvarint(body)
		if n <= 0 || length > uint64(len(body)-n) {
			return nil, false
		}
		end := n + int(length)
		records = append(records, body[n:end:end])
		body = body[end:]
	}
	return records, true
}

// decodeFrames decodes data, which starts at offset in its file. It returns the records and the numbers of bytes and
// frames that are intact. It ignores a torn last frame and returns ErrCorrupt for any other damage.
func decodeFrames(data []byte, offset int) (records [][]byte, size int, frames uint64, err error) {
	for size < len(data) {
		rest := data[size:]
		header, ok := decodeFrameHeader(rest)
		if !ok {
			return records, size, frames, checkTorn(rest, min(len(rest), frameHeaderSize), offset+size, frames)
		}
		end := frameHeaderSize + int(header.length)
		if header.sequence != frames {
			return nil, 0, 0, corruptError(offset+size, "found frame %d, expected frame %d", header.sequence, frames)
		}
		if end > len(rest) {
			return records, size, frames, nil
		}
		body := rest[frameHeaderSize:end]
		if crc32.Checksum(body, castagnoli) != header.checksum {
			return records, size, frames, checkTorn(rest, end, offset+size, frames)
		}
		decoded, ok := decodeRecords(body)
		if !ok {
			return nil, 0, 0, corruptError(offset+size, "frame %d contains an invalid record length", frames)
		}
		records = append(records, decoded...)
		size += end
		frames++
	}
	return records, size, frames, nil
}

// checkTorn returns nil if the damaged bytes data[:end] can result from a write that a crash interrupted. In that case
// no later frame follows, and the missing part is past the end of the file or reads as sectors of zeros. Otherwise it
// returns ErrCorrupt.
func checkTorn(data []byte, end, offset int, sequence uint64) error {
	if hasLaterFrame(data, sequence) {
		return corruptError(offset, "frame %d is damaged, but a later frame follows", sequence)
	}
	if len(data) < frameHeaderSize || hasZeroSector(data[:end], offset) {
		return nil
	}
	return corruptError(offset, "frame %d was written completely and has changed since", sequence)
}

// hasLaterFrame reports whether data contains, after its first byte, a valid header of a frame after sequence.
func hasLaterFrame(data []byte, sequence uint64) bool {
	marker := binary.LittleEndian.AppendUint32(nil, frameMarker)
	for at := 1; at < len(data); at++ {
		next := bytes.Index(data[at:], marker)
		if next < 0 {
			return false
		}
		at += next
		if header, ok := decodeFrameHeader(data[at:]); ok && header.sequence > sequence {
			return true
		}
	}
	return false
}

// hasZeroSector reports whether data, which starts at offset in its file, has only zeros in at least one of the sectors
// that it spans.
func hasZeroSector(data []byte, offset int) bool {
	for len(data) > 0 {
		n := min(len(data), sectorSize-offset%sectorSize)
		if len(bytes.Trim(data[:n], "\x00")) == 0 {
			return true
		}
		data = data[n:]
		offset += n
	}
	return false
}

// corruptError returns ErrCorrupt with the offset in the log and the formatted reason.
func corruptError(offset int, format string, args ...any) error {
	return fmt.Errorf("reading the log at byte %d: %s: %w", offset, fmt.Sprintf(format, args...), ErrCorrupt)
}
