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
	acceptGUID      = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
	maxRequestBytes = 8 << 10 // bytes of an opening request
)

var (
	headerEnd = []byte("\r\n\r\n")

	errBadRequest = errors.New("websocket: no opening request")
)

// parseRequest reads an opening request from the start of b and returns its length,
// or 0 if b ends before it does. net/http reads what is whole and short, so that a
// client can have no more kept of it than its bytes.
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
	req, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(b[:end]), end))
	if err != nil || !req.ProtoAtLeast(1, 1) || req.ContentLength != 0 { // Guard: a body would be taken for frames
		return nil, 0, errBadRequest
	}
	return req, end, nil
}

// handshakeResponse answers an opening request (RFC 6455, section 4.2). ok: the
// connection is a WebSocket from here on.
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

// hasToken tells whether a header's comma-separated list has a token, in any of its
// lines and whatever the case.
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
