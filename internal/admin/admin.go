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
	// wholeTime is how long a caller may take for a whole call, and answerTime for what
	// is answered; mostHeader is what its head may hold, in bytes.
	wholeTime  = 5 * time.Second
	answerTime = 2 * time.Second
	mostHeader = 8 << 10
	// actTime is how long what is called may take. An answer is owed within 1 s.
	actTime = 700 * time.Millisecond
)

// Metrics is what the program reports of itself, by class where a map stands. The counts
// run from the start of the process.
type Metrics struct {
	OK          map[string]int64 `json:"ok"`
	Shed        map[string]int64 `json:"shed"`
	Errors      map[string]int64 `json:"errors"`
	Attempts    int64            `json:"tries"`        // attempts written whole to media nodes
	Active      int              `json:"active"`       // requests taken and not ended
	PoolSize    int              `json:"pool_size"`    // media nodes on the list
	PoolEjected int              `json:"pool_ejected"` // of these, left out by hand or by choice
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
func Serve(ctx context.Context, l net.Listener, most func() int, p Backend, log *zap.Logger) error {
	places := newPlaces(l, most)
	s := &http.Server{
		Handler: handler(p, log), ReadTimeout: wholeTime, WriteTimeout: wholeTime + answerTime,
		MaxHeaderBytes: mostHeader, ErrorLog: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, placeKey{}, c) },
	}
	s.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Serve(places); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func handler(p Backend, log *zap.Logger) http.Handler {
	mux := http.NewServeMux()
	call := func(pattern string, do func(ctx context.Context, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if c, ok := r.Context().Value(placeKey{}).(*place); ok {
				c.whole.Store(true)
			}
			ctx, cancel := context.WithTimeout(r.Context(), actTime)
			defer cancel()
			answer, err := do(ctx, r)
			if err != nil {
				refuse(w, r, err, log)
				return
			}
			if r.Method == http.MethodPost {
				log.Info("operator's call", zap.String("call", r.URL.RequestURI()), zap.String("from", r.RemoteAddr))
			}
			write(w, http.StatusOK, answer)
		})
	}
	done := map[string]bool{"done": true}
	call("GET /ready", func(context.Context, *http.Request) (any, error) {
		if !p.Ready() {
			return nil, &NotReadyError{}
		}
		return map[string]bool{"ready": true}, nil
	})
	call("GET /metrics", func(ctx context.Context, _ *http.Request) (any, error) { return p.Metrics(ctx) })
	out := func(out bool) func(context.Context, *http.Request) (any, error) {
		return func(ctx context.Context, r *http.Request) (any, error) {
			member := r.URL.Query().Get("member")
			if member == "" {
				return nil, &MissingMemberError{Path: r.URL.Path}
			}
			return done, p.SetDisabled(ctx, member, out)
		}
	}
	call("POST /media-servers/disable", out(true))
	call("POST /media-servers/enable", out(false))
	drain := func(on bool) func(context.Context, *http.Request) (any, error) {
		return func(ctx context.Context, _ *http.Request) (any, error) { return done, p.SetDraining(ctx, on) }
	}
	call("POST /drain", drain(true))
	call("POST /undrain", drain(false))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, r, &UnknownCallError{Method: r.Method, Path: r.URL.Path}, log)
	})
	return mux
}

// refuse answers a call with no: what is wrong, and what the caller can do.
func refuse(w http.ResponseWriter, r *http.Request, err error, log *zap.Logger) {
	status, body := http.StatusServiceUnavailable, map[string]string{"error": err.Error()}
	if known, ok := remedy.FromError(err); ok {
		body["code"], body["remedy"] = known.Code(), known.Remedy()
	}
	var s interface{ Status() int }
	if errors.As(err, &s) {
		status = s.Status()
	}
	log.Info("operator's call refused", zap.String("call", r.Method+" "+r.URL.Path), zap.String("from", r.RemoteAddr), zap.Error(err), zap.String("code", body["code"]))
	write(w, status, body)
}

func write(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}
