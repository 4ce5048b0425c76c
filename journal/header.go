package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

const (
	formatVersion      = 1
	fileMagic          = "sapphire"
	fileHeaderSize     = 16
	snapshotHeaderSize = fileHeaderSize + 12
)

// encodeFileHeader returns the magic number, the format version and the checksum of both.
func encodeFileHeader() []byte {
	header := append([]byte(nil), fileMagic...)
	header = binary.LittleEndian.AppendUint32(header, formatVersion)
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// checkFileHeader returns ErrCorrupt if the header is invalid, or ErrNewerFormat if this release cannot read the
// format.
func checkFileHeader(name string, data []byte) error {
	if len(data) < fileHeaderSize || !bytes.HasPrefix(data, []byte(fileMagic)) {
		return fmt.Errorf("reading %s: truncated header or wrong magic number: %w", name, ErrCorrupt)
	}
	if binary.LittleEndian.Uint32(data[12:]) != crc32.Checksum(data[:12], castagnoli) {
		return fmt.Errorf("reading %s: checksum mismatch in the header: %w", name, ErrCorrupt)
	}
	version := binary.LittleEndian.Uint32(data[8:])
	if version > formatVersion {
		return fmt.Errorf("reading %s: format %d is newer than format %d of this release: %w", name, version, formatVersion, ErrNewerFormat)
	}
	return nil
}

func encodeSnapshotHeader(body []byte) []byte {
	header := encodeFileHeader()
	header = binary.LittleEndian.AppendUint64(header, uint64(len(body)))
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(body, castagnoli))
}

// decodeSnapshot returns the body of the snapshot file with the given name and content.
func decodeSnapshot(name string, data []byte) ([]byte, error) {
	if err := checkFileHeader(name, data); err != nil {
		return nil, err
	}
	if len(data) < snapshotHeaderSize {
		return nil, fmt.Errorf("reading %s: truncated snapshot header: %w", name, ErrCorrupt)
	}
	body := data[snapshotHeaderSize:]
	length := binary.LittleEndian.Uint64(data[fileHeaderSize:])
	checksum := binary.LittleEndian.Uint32(data[fileHeaderSize+8:])
	if length != uint64(len(body)) || checksum != crc32.Checksum(body, castagnoli) {
		return nil, fmt.Errorf("reading %s: length or checksum mismatch: %w", name, ErrCorrupt)
	}
	return body, nil
}
