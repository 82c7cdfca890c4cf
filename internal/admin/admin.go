// Package admin answers the calls of those who run the program: by HTTP/1.1, one call a
// connection, on an address of their own.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/remedy"
)

const (
	// readTimeout is how long a caller may take for a whole call, and answerTime for what
	// is answered; mostHeader is what its head may hold, in bytes.
	readTimeout    = 5 * time.Second
	answerTimeout  = 2 * time.Second
	maxHeaderBytes = 8 << 10
	// callTimeout is how long what is called may take. An answer is owed within 1 s.
	callTimeout = 700 * time.Millisecond
)

// Metrics is what the program reports of itself, by class where a map stands. The counts
// run from the start of the process.
type Metrics struct {
	OK           map[string]int64 `json:"ok"`
	Shed         map[string]int64 `json:"shed"`
	Errors       map[string]int64 `json:"errors"`
	AttemptsSent int64            `json:"tries"`        // attempts written whole to media nodes
	Active       int              `json:"active"`       // requests taken and not ended
	PoolSize     int              `json:"pool_size"`    // media nodes on the list
	PoolEjected  int              `json:"pool_ejected"` // of these, left out by hand or by choice
}

// Backend is what calls act on. Each method returns within the time of its context.
type Backend interface {
	// Ready tells whether this process serves.
	Ready() bool
	// Figures are at most 0.5 s old.
	Metrics(context.Context) (Metrics, error)
	// Out takes a media node out by hand, or puts it back.
	SetDisabled(ctx context.Context, member string, out bool) error
	// Drain sends clients away, or takes them again.
	SetDraining(ctx context.Context, on bool) error
}

// Serve answers calls on l until ctx ends, of at most so many callers at once.
func Serve(ctx context.Context, listener net.Listener, maxCallers func() int, backend Backend, log *zap.Logger) error {
	limited := newLimitListener(listener, maxCallers)
	server := &http.Server{
		Handler: newHandler(backend, log), ReadTimeout: readTimeout, WriteTimeout: readTimeout + answerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	server.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(limited); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func newHandler(backend Backend, log *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, do func(ctx context.Context, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if conn, ok := r.Context().Value(connKey{}).(*limitedConn); ok {
				conn.requestReceived.Store(true)
			}
			ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
			defer cancel()
			body, err := do(ctx, r)
			if err != nil {
				writeError(w, r, err, log)
				return
			}
			if r.Method == http.MethodPost {
				log.Info("operator's call", zap.String("call", r.URL.RequestURI()), zap.String("from", r.RemoteAddr))
			}
			writeJSON(w, http.StatusOK, body)
		})
	}
	doneBody := map[string]bool{"done": true}
	handle("GET /ready", func(context.Context, *http.Request) (any, error) {
		if !backend.Ready() {
			return nil, &NotReadyError{}
		}
		return map[string]bool{"ready": true}, nil
	})
	handle("GET /metrics", func(ctx context.Context, _ *http.Request) (any, error) { return backend.Metrics(ctx) })
	out := func(out bool) func(context.Context, *http.Request) (any, error) {
		return func(ctx context.Context, r *http.Request) (any, error) {
			member := r.URL.Query().Get("member")
			if member == "" {
				return nil, &MissingMemberError{CallPath: r.URL.Path}
			}
			return doneBody, backend.SetDisabled(ctx, member, out)
		}
	}
	handle("POST /media-servers/disable", out(true))
	handle("POST /media-servers/enable", out(false))
	setDraining := func(draining bool) func(context.Context, *http.Request) (any, error) {
		return func(ctx context.Context, _ *http.Request) (any, error) {
			return doneBody, backend.SetDraining(ctx, draining)
		}
	}
	handle("POST /drain", setDraining(true))
	handle("POST /undrain", setDraining(false))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, r, &UnknownCallError{Method: r.Method, Path: r.URL.Path}, log)
	})
	return mux
}

// writeError answers a call with no: what is wrong, and what the caller can do.
func writeError(w http.ResponseWriter, r *http.Request, err error, log *zap.Logger) {
	status, body := http.StatusServiceUnavailable, map[string]string{"error": err.Error()}
	if withCode, ok := remedy.FromError(err); ok {
		body["code"], body["remedy"] = withCode.Code(), withCode.Remedy()
	}
	var withStatus interface{ Status() int }
	if errors.As(err, &withStatus) {
		status = withStatus.Status()
	}
	log.Info("operator's call refused", zap.String("call", r.Method+" "+r.URL.Path), zap.String("from", r.RemoteAddr), zap.Error(err), zap.String("code", body["code"]))
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}
