package websocket

import (
	"encoding/binary"
	"fmt"
	"unicode/utf8"

	"millethinge/internal/front/message"
)

// Opcodes (RFC 6455, section 5.2).
const (
	opContinuation = 0
	opText         = 1
	opBinary       = 2
	opClose        = 8
	opPing         = 9
	opPong         = 10
)

// Close codes (section 7.4.1).
const (
	closeNormal          = 1000
	closeGoingAway       = 1001
	closeProtocol        = 1002
	closeUnsupportedData = 1003
	closeNoStatus        = 1005 // stands for a close frame without one; never sent
	closeInvalidPayload  = 1007
	closeTooBig          = 1009
)

// closeError ends a connection with a close code.
type closeError int

func (e closeError) Error() string { return fmt.Sprintf("websocket: closing with %d", int(e)) }

// frame is one frame of a client. Its payload is a slice of the buffer that
// was parsed, unmasked in place.
type frame struct {
	fin     bool
	opcode  byte
	payload []byte
}

const maxControlPayload = 125

// parseFrame reads one masked frame from the start of b. It returns the frame's
// length, or 0 if b ends before it does; only then is b left as it was.
func parseFrame(b []byte, f *frame) (int, error) {
	if len(b) < 2 {
		return 0, nil
	}
	f.fin, f.opcode = b[0]&0x80 != 0, b[0]&0x0f
	if b[0]&0x70 != 0 || b[1]&0x80 == 0 { // no extensions; clients mask
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

// appendFrame adds one unmasked frame of a server.
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

// appendClose adds a close frame.
func appendClose(b []byte, code int) []byte {
	if code == closeNoStatus {
		return appendFrame(b, opClose, nil)
	}
	return appendFrame(b, opClose, binary.BigEndian.AppendUint16(nil, uint16(code)))
}

// parseCloseCode reads a close frame's payload.
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
