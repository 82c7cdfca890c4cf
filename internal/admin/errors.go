package admin

import (
	"fmt"
	"net/http"
)

// NotReadyError tells that the process does not serve yet, or no more.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "not ready: the program starts or ends" }
func (*NotReadyError) Code() string  { return "call-not-ready" }
func (*NotReadyError) Remedy() string {
	return "ask again in a second; if it lasts, look at the log's last lines"
}
func (*NotReadyError) Status() int { return http.StatusServiceUnavailable }

// MissingMemberError tells that a call names no media node.
type MissingMemberError struct{ CallPath string }

func (e *MissingMemberError) Error() string { return e.CallPath + ": names no media node" }
func (e *MissingMemberError) Code() string  { return "call-no-member" }
func (e *MissingMemberError) Remedy() string {
	return "add ?member=ID, with an id of the coordinator's list"
}
func (e *MissingMemberError) Status() int { return http.StatusBadRequest }

// UnknownMemberError tells that a media node was never listed.
type UnknownMemberError struct {
	Member      string
	ListedCount int // how many are
}

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("media node %q was never listed; %d are", e.Member, e.ListedCount)
}
func (e *UnknownMemberError) Code() string { return "call-unknown-member" }
func (e *UnknownMemberError) Remedy() string {
	return "check the id against the coordinator's list; a node that is new has to be listed first"
}
func (e *UnknownMemberError) Status() int { return http.StatusNotFound }

// UnknownCallError tells that there is no such call.
type UnknownCallError struct{ Method, Path string }

func (e *UnknownCallError) Error() string { return fmt.Sprintf("no call %s %s", e.Method, e.Path) }
func (e *UnknownCallError) Code() string  { return "call-unknown" }
func (e *UnknownCallError) Remedy() string {
	return "calls are GET /ready, GET /metrics, POST /media-servers/disable?member=ID, POST /media-servers/enable?member=ID, POST /drain, POST /undrain"
}
func (e *UnknownCallError) Status() int { return http.StatusNotFound }

// TimeoutError tells that what a call asked for was not done in time. It may still be.
type TimeoutError struct{ Operation string }

func (e *TimeoutError) Error() string { return e.Operation + ": not done in time" }
func (e *TimeoutError) Code() string  { return "call-late" }
func (e *TimeoutError) Remedy() string {
	return "repeat the call: each may be repeated; if it lasts, the process is short of its core"
}
func (e *TimeoutError) Status() int { return http.StatusServiceUnavailable }
