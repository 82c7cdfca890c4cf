// Package admin serves operators' calls by HTTP/1.1, one call per connection, at an address of
// their own.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/diagnostic"
)

// Limits of one call.
const (
	// readTimeout limits the time in which a caller sends the complete request, answerTimeout
	// the time in which it reads the answer, and maxHeaderBytes the size of the request's
	// header.
	readTimeout    = 5 * time.Second
	answerTimeout  = 2 * time.Second
	maxHeaderBytes = 8 << 10
	// callTimeout limits the time in which the Backend carries out a call. An answer is due
	// within 1 s.
	callTimeout = 700 * time.Millisecond
)

// Metrics are the figures that the program reports of itself. The maps are by class; the counts
// in them and AttemptsSent run from the start of the process.
type Metrics struct {
	OK           map[string]int64 `json:"ok"`           // requests served
	Shed         map[string]int64 `json:"shed"`         // requests refused
	Errors       map[string]int64 `json:"errors"`       // requests failed
	AttemptsSent int64            `json:"tries"`        // attempts written completely to media nodes
	Active       int              `json:"active"`       // requests accepted and not ended
	PoolSize     int              `json:"pool_size"`    // media nodes on the list
	PoolEjected  int              `json:"pool_ejected"` // of these, disabled by an operator or avoided by the manager
	Rejected     map[string]int64 `json:"rejected"`     // clients' connections and messages that were rejected, by reason
}

// Backend carries out operators' calls. Each method must return within the deadline of its
// context.
type Backend interface {
	// Ready reports whether this process serves.
	Ready() bool
	// Metrics returns figures that are at most 0.5 s old.
	Metrics(context.Context) (Metrics, error)
	// SetDisabled disables a media node, or enables it again.
	SetDisabled(ctx context.Context, member string, disabled bool) error
	// CountRejectedCall counts a call that is rejected before it is parsed.
	CountRejectedCall()
	// SetDraining begins or ends a drain of clients.
	SetDraining(ctx context.Context, draining bool) error
}

// Serve answers calls on listener until ctx ends. At most maxCallers connections are open at
// once.
func Serve(ctx context.Context, listener net.Listener, maxCallers func() int, backend Backend, log *zap.Logger) error {
	limited := newLimitListener(listener, maxCallers, func(from net.Addr, why error) {
		backend.CountRejectedCall()
		log.Info("operator's call rejected unread", zap.Stringer("from", from), zap.Error(why))
	})
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

// newHandler returns the handler of all calls, which logs each call that changes something or is
// refused.
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
	setDisabled := func(disabled bool) func(context.Context, *http.Request) (any, error) {
		return func(ctx context.Context, r *http.Request) (any, error) {
			member := r.URL.Query().Get("member")
			if member == "" {
				return nil, &MissingMemberError{CallPath: r.URL.Path}
			}
			return doneBody, backend.SetDisabled(ctx, member, disabled)
		}
	}
	handle("POST /media-servers/disable", setDisabled(true))
	handle("POST /media-servers/enable", setDisabled(false))
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

// writeError refuses a call: it answers with the error, and with its code and remedy if it has
// them, and logs the refusal.
func writeError(w http.ResponseWriter, r *http.Request, err error, log *zap.Logger) {
	status, body := http.StatusServiceUnavailable, map[string]string{"error": err.Error()}
	if withCode, ok := diagnostic.FromError(err); ok {
		body["code"], body["remedy"] = withCode.Code(), withCode.Remedy()
	}
	var withStatus interface{ Status() int }
	if errors.As(err, &withStatus) {
		status = withStatus.Status()
	}
	log.Info("operator's call refused", zap.String("call", r.Method+" "+r.URL.Path), zap.String("from", r.RemoteAddr), zap.Error(err), zap.String("code", body["code"]))
	writeJSON(w, status, body)
}

// writeJSON answers a call with a JSON body.
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
