package websocket

import (
	"crypto/sha1"
	"encoding/base64"
	"strconv"

	"millethinge/internal/http1"
)

const acceptGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// handshake answers an opening request (RFC 6455, section 4.2). ok: the
// connection is a WebSocket from here on.
func handshake(req *http1.Message, path string) (response []byte, ok bool) {
	target := string(req.Target)
	for i := range len(target) {
		if target[i] == '?' {
			target = target[:i]
			break
		}
	}
	switch {
	case target != path:
		return failure(404, "Not Found", ""), false
	case string(req.Method) != "GET":
		return failure(405, "Method Not Allowed", "Allow: GET\r\n"), false
	case !req.HasToken("Upgrade", "websocket") || !req.HasToken("Connection", "upgrade"):
		return failure(426, "Upgrade Required", "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"), false
	case string(req.Get("Sec-WebSocket-Version")) != "13":
		return failure(426, "Upgrade Required", "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"), false
	}
	key := req.Get("Sec-WebSocket-Key")
	if raw, err := base64.StdEncoding.DecodeString(string(key)); err != nil || len(raw) != 16 || req.Get("Host") == nil {
		return failure(400, "Bad Request", ""), false
	}
	return []byte("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + acceptKey(key) + "\r\n\r\n"), true
}

func acceptKey(key []byte) string {
	sum := sha1.Sum(append(key[:len(key):len(key)], acceptGUID...))
	return base64.StdEncoding.EncodeToString(sum[:])
}

func failure(code int, reason, headers string) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(code) + " " + reason + "\r\n" + headers +
		"Connection: close\r\nContent-Length: 0\r\n\r\n")
}
