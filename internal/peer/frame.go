package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// MaxFrameBytes limits the payload of one frame. A connection whose frame header
// gives a greater length is closed before memory is allocated for the payload.
const MaxFrameBytes = 8 << 20

// initialBufferBytes limits the buffer allocated for a payload before any of it has
// arrived. Beyond that, the buffer grows with the bytes received, so that a header
// alone can't make a node allocate much memory.
const initialBufferBytes = 64 << 10

// frameHeaderBytes is the size of a frame's header: the payload's length in bytes
// (4), an xxhash of generation and payload (8), and the sender's configuration
// generation (8), all big-endian.
const frameHeaderBytes = 4 + 8 + 8

var (
	errFrameTooLong     = errors.New("peer: frame exceeds the size limit")
	errChecksumMismatch = errors.New("peer: frame checksum mismatch")
)

// frameHeader precedes the payload of a frame.
type frameHeader struct {
	length     uint32
	checksum   uint64
	generation uint64
}

// appendTo appends the encoded header to b.
func (h frameHeader) appendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, h.length)
	b = binary.BigEndian.AppendUint64(b, h.checksum)
	return binary.BigEndian.AppendUint64(b, h.generation)
}

// parseFrameHeader decodes a header and checks its length field.
func parseFrameHeader(b [frameHeaderBytes]byte) (frameHeader, error) {
	h := frameHeader{
		length:     binary.BigEndian.Uint32(b[0:4]),
		checksum:   binary.BigEndian.Uint64(b[4:12]),
		generation: binary.BigEndian.Uint64(b[12:20]),
	}
	if h.length > MaxFrameBytes {
		return h, fmt.Errorf("%w: %d bytes", errFrameTooLong, h.length)
	}
	return h, nil
}

// checksum returns the xxhash of the generation and the payload.
func checksum(generation uint64, payload []byte) uint64 {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], generation)
	h := xxhash.New()
	_, _ = h.Write(encoded[:])
	_, _ = h.Write(payload)
	return h.Sum64()
}

// beginFrame resets buf and reserves space in it for a frame header. The caller
// appends the payload and calls writeFrame.
func beginFrame(buf *bytes.Buffer) {
	buf.Reset()
	var placeholder [frameHeaderBytes]byte
	buf.Write(placeholder[:])
}

// writeFrame fills in the header of the frame in buf and writes the frame with a
// single Write call. If Write fails, the frame is incomplete and its receiver
// discards it.
func writeFrame(w io.Writer, generation uint64, buf *bytes.Buffer) (int, error) {
	frame := buf.Bytes()
	payload := frame[frameHeaderBytes:]
	if len(payload) > MaxFrameBytes {
		return 0, errFrameTooLong
	}
	h := frameHeader{
		length:     uint32(len(payload)),
		checksum:   checksum(generation, payload),
		generation: generation,
	}
	h.appendTo(frame[:0])
	return w.Write(frame)
}

// readFrame reads the payload of one frame into buf, replacing its contents, and
// returns the sender's configuration generation.
func readFrame(r io.Reader, buf *bytes.Buffer) (uint64, error) {
	var encoded [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, encoded[:]); err != nil {
		return 0, err
	}
	h, err := parseFrameHeader(encoded)
	if err != nil {
		return 0, err
	}
	buf.Reset()
	buf.Grow(min(int(h.length), initialBufferBytes) + bytes.MinRead)
	if _, err := io.CopyN(buf, r, int64(h.length)); err != nil {
		return 0, io.ErrUnexpectedEOF
	}
	if checksum(h.generation, buf.Bytes()) != h.checksum {
		return 0, errChecksumMismatch
	}
	return h.generation, nil
}
