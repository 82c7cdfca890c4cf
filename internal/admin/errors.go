package admin

import (
	"fmt"
	"net/http"
)

// NotReadyError reports that the process does not serve yet, or not any more.
type NotReadyError struct{}

// Error says that the process is not ready.
func (*NotReadyError) Error() string { return "not ready: the program starts or ends" }

// Code returns the error's code for operators.
func (*NotReadyError) Code() string { return "call-not-ready" }

// Remedy returns what an operator can do about the error.
func (*NotReadyError) Remedy() string {
	return "ask again in a second; if it lasts, look at the log's last lines"
}

// Status returns the HTTP status of the answer.
func (*NotReadyError) Status() int { return http.StatusServiceUnavailable }

// MissingMemberError reports that a call names no media node.
type MissingMemberError struct{ CallPath string }

// Error names the call's path.
func (e *MissingMemberError) Error() string { return e.CallPath + ": names no media node" }

// Code returns the error's code for operators.
func (e *MissingMemberError) Code() string { return "call-no-member" }

// Remedy returns what an operator can do about the error.
func (e *MissingMemberError) Remedy() string {
	return "add ?member=ID, with an id of the coordinator's list"
}

// Status returns the HTTP status of the answer.
func (e *MissingMemberError) Status() int { return http.StatusBadRequest }

// UnknownMemberError reports that a media node was never listed.
type UnknownMemberError struct {
	Member      string
	ListedCount int // number of listed media nodes
}

// Error names the media node and the number of listed ones.
func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("media node %q was never listed; %d are", e.Member, e.ListedCount)
}

// Code returns the error's code for operators.
func (e *UnknownMemberError) Code() string { return "call-unknown-member" }

// Remedy returns what an operator can do about the error.
func (e *UnknownMemberError) Remedy() string {
	return "check the id against the coordinator's list; a node that is new has to be listed first"
}

// Status returns the HTTP status of the answer.
func (e *UnknownMemberError) Status() int { return http.StatusNotFound }

// UnknownCallError reports that there is no such call.
type UnknownCallError struct{ Method, Path string }

// Error names the method and the path.
func (e *UnknownCallError) Error() string { return fmt.Sprintf("no call %s %s", e.Method, e.Path) }

// Code returns the error's code for operators.
func (e *UnknownCallError) Code() string { return "call-unknown" }

// Remedy returns what an operator can do about the error.
func (e *UnknownCallError) Remedy() string {
	return "calls are GET /ready, GET /metrics, POST /media-servers/disable?member=ID, POST /media-servers/enable?member=ID, POST /drain, POST /undrain"
}

// Status returns the HTTP status of the answer.
func (e *UnknownCallError) Status() int { return http.StatusNotFound }

// TimeoutError reports that an operation was not done in time. It may still be done later.
type TimeoutError struct{ Operation string }

// Error names the operation.
func (e *TimeoutError) Error() string { return e.Operation + ": not done in time" }

// Code returns the error's code for operators.
func (e *TimeoutError) Code() string { return "call-late" }

// Remedy returns what an operator can do about the error.
func (e *TimeoutError) Remedy() string {
	return "repeat the call: each may be repeated; if it lasts, the process is short of its core"
}

// Status returns the HTTP status of the answer.
func (e *TimeoutError) Status() int { return http.StatusServiceUnavailable }
