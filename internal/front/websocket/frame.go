package websocket

import (
	"encoding/binary"
	"fmt"
	"unicode/utf8"

	"millethinge/internal/front/message"
)

// Frame opcodes (RFC 6455, section 5.2).
const (
	opContinuation = 0
	opText         = 1
	opBinary       = 2
	opClose        = 8
	opPing         = 9
	opPong         = 10
)

// Close codes (RFC 6455, section 7.4.1).
const (
	closeNormal          = 1000
	closeGoingAway       = 1001
	closeProtocol        = 1002
	closeUnsupportedData = 1003
	closeNoStatus        = 1005 // stands for a close frame without a code; never sent
	closeInvalidPayload  = 1007
	closePolicyViolation = 1008
	closeTooBig          = 1009
)

// closeError is an error that ends a connection; its value is the close code to send.
type closeError int

func (e closeError) Error() string { return fmt.Sprintf("websocket: closing with code %d", int(e)) }

// frame is one frame from a client. Its payload is a slice of the parsed buffer, unmasked in
// place.
type frame struct {
	fin     bool
	opcode  byte
	payload []byte
}

// maxControlPayload is the longest payload of a control frame in bytes (RFC 6455, section
// 5.5).
const maxControlPayload = 125

// parseFrame parses one masked frame at the start of b. It returns the frame's length, or 0
// if b does not hold the complete frame yet. A complete frame is unmasked in b.
func parseFrame(b []byte, f *frame) (int, error) {
	if len(b) < 2 {
		return 0, nil
	}
	f.fin, f.opcode = b[0]&0x80 != 0, b[0]&0x0f
	if b[0]&0x70 != 0 || b[1]&0x80 == 0 { // no extension is in use, and clients must mask
		return 0, closeError(closeProtocol)
	}
	size, offset := uint64(b[1]&0x7f), 2
	if f.opcode >= opClose {
		if !f.fin || size > maxControlPayload || f.opcode > opPong {
			return 0, closeError(closeProtocol)
		}
	} else if f.opcode > opBinary {
		return 0, closeError(closeProtocol)
	}
	switch size {
	case 126:
		if len(b) < 4 {
			return 0, nil
		}
		size, offset = uint64(binary.BigEndian.Uint16(b[2:])), 4
		if size < 126 {
			return 0, closeError(closeProtocol)
		}
	case 127:
		if len(b) < 10 {
			return 0, nil
		}
		size, offset = binary.BigEndian.Uint64(b[2:]), 10
		if size < 1<<16 || size>>63 != 0 {
			return 0, closeError(closeProtocol)
		}
	}
	if size > message.MaxSize {
		return 0, closeError(closeTooBig)
	}
	end := offset + 4 + int(size)
	if len(b) < end {
		return 0, nil
	}
	mask := b[offset : offset+4]
	f.payload = b[offset+4 : end]
	for i := range f.payload {
		f.payload[i] ^= mask[i&3]
	}
	return end, nil
}

// appendFrame appends one frame from the server, which is not masked.
func appendFrame(b []byte, opcode byte, payload []byte) []byte {
	b = append(b, 0x80|opcode)
	switch n := len(payload); {
	case n < 126:
		b = append(b, byte(n))
	case n < 1<<16:
		b = append(b, 126)
		b = binary.BigEndian.AppendUint16(b, uint16(n))
	default:
		b = append(b, 127)
		b = binary.BigEndian.AppendUint64(b, uint64(n))
	}
	return append(b, payload...)
}

// appendClose appends a close frame.
func appendClose(b []byte, code int) []byte {
	if code == closeNoStatus {
		return appendFrame(b, opClose, nil)
	}
	return appendFrame(b, opClose, binary.BigEndian.AppendUint16(nil, uint16(code)))
}

// parseCloseCode returns the close code in the payload of a close frame.
func parseCloseCode(payload []byte) (int, error) {
	if len(payload) == 0 {
		return closeNoStatus, nil
	}
	if len(payload) == 1 {
		return 0, closeError(closeProtocol)
	}
	if !utf8.Valid(payload[2:]) {
		return 0, closeError(closeInvalidPayload)
	}
	code := int(binary.BigEndian.Uint16(payload))
	switch {
	case code >= 3000 && code < 5000,
		code >= closeNormal && code <= closeUnsupportedData, code >= closeInvalidPayload && code <= 1014:
		return code, nil
	}
	return 0, closeError(closeProtocol)
}
