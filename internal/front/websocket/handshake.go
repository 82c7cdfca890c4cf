package websocket

import (
	"bufio"
	"bytes"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"net/http"
	"strconv"
	"strings"
)

const (
	// acceptGUID is the constant of the opening handshake (RFC 6455, section 1.3).
	acceptGUID      = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
	maxRequestBytes = 8 << 10 // limit for the request of the opening handshake
	maxHeaders      = 100     // limit for its headers, each of which takes more memory and time parsed than on the wire
)

var (
	headerEnd = []byte("\r\n\r\n")

	errBadRequest     = errors.New("websocket: malformed handshake request")
	errTooManyHeaders = errors.New("websocket: handshake request with too many headers")
)

// parseRequest parses the request of an opening handshake at the start of b. It returns the
// request's length, or 0 if b does not hold the complete request yet. net/http gets only
// complete requests of limited length, so that a client can't make the server hold more
// memory than the bytes it has sent.
func parseRequest(b []byte) (*http.Request, int, error) {
	end := bytes.Index(b, headerEnd) + len(headerEnd)
	if end < len(headerEnd) {
		if len(b) >= maxRequestBytes {
			return nil, 0, errBadRequest
		}
		return nil, 0, nil
	}
	if end > maxRequestBytes {
		return nil, 0, errBadRequest
	}
	if bytes.Count(b[:end], []byte("\n")) > maxHeaders+2 { // with the request line and the empty one
		return nil, 0, errTooManyHeaders
	}
	req, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(b[:end]), end))
	if err != nil || !req.ProtoAtLeast(1, 1) || req.ContentLength != 0 { // Guard: a body would be parsed as frames
		return nil, 0, errBadRequest
	}
	return req, end, nil
}

// handshakeResponse returns the response to the request of an opening handshake (RFC 6455, section
// 4.2). ok: the request was accepted, and WebSocket frames follow.
func handshakeResponse(req *http.Request, path string) (response []byte, ok bool) {
	switch {
	case req.URL.Path != path:
		return errorResponse(http.StatusNotFound, ""), false
	case req.Method != http.MethodGet:
		return errorResponse(http.StatusMethodNotAllowed, "Allow: GET\r\n"), false
	case !hasToken(req.Header, "Upgrade", "websocket") || !hasToken(req.Header, "Connection", "upgrade"),
		req.Header.Get("Sec-WebSocket-Version") != "13":
		return errorResponse(http.StatusUpgradeRequired, "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"), false
	}
	key := req.Header.Get("Sec-WebSocket-Key")
	if raw, err := base64.StdEncoding.DecodeString(key); err != nil || len(raw) != 16 || req.Host == "" {
		return errorResponse(http.StatusBadRequest, ""), false
	}
	return []byte("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + acceptKey(key) + "\r\n\r\n"), true
}

// hasToken reports whether the comma-separated values of a header contain a token. Letter
// case is ignored, and the header may occur several times.
func hasToken(h http.Header, name, token string) bool {
	for _, line := range h.Values(name) {
		for t := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

func acceptKey(key string) string {
	sum := sha1.Sum([]byte(key + acceptGUID))
	return base64.StdEncoding.EncodeToString(sum[:])
}

func errorResponse(code int, headers string) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(code) + " " + http.StatusText(code) + "\r\n" + headers +
		"Connection: close\r\nContent-Length: 0\r\n\r\n")
}
