package directory

import (
	"fmt"
	"time"
)

// UnreachableError reports that no connection to the coordinator could be opened.
type UnreachableError struct {
	Addr string
	Err  error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("coordinator %s: %v", e.Addr, e.Err) }
func (e *UnreachableError) Unwrap() error { return e.Err }

// Code returns the code by which docs/errors.md lists the error.
func (e *UnreachableError) Code() string { return "list-unreachable" }

// Remedy returns what the operator can do.
func (e *UnreachableError) Remedy() string {
	return "Start the coordinator, or set its current address in the configuration and send SIGHUP. Until then the list of media nodes stays as last received."
}

// ConnClosedError reports that a connection to the coordinator ended before the response to a
// poll was complete.
type ConnClosedError struct {
	Addr string
	Err  error // io.EOF if the connection was closed normally
}

func (e *ConnClosedError) Error() string {
	return fmt.Sprintf("coordinator %s: connection ended before a complete response: %v", e.Addr, e.Err)
}
func (e *ConnClosedError) Unwrap() error { return e.Err }

// Code returns the code by which docs/errors.md lists the error.
func (e *ConnClosedError) Code() string { return "list-closed" }

// Remedy returns what the operator can do.
func (e *ConnClosedError) Remedy() string {
	return "Nothing if it happens once: the coordinator is polled again on a new connection. If it recurs, check whether the coordinator or a proxy in front of it restarts or closes connections."
}

// TimeoutError reports that the coordinator did not respond in time.
type TimeoutError struct {
	Addr    string
	MaxWait time.Duration // longest time that it could hold the poll
	Waited  time.Duration // since the poll
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("coordinator %s: no response within %v to a poll that may be held for up to %v", e.Addr, e.Waited, e.MaxWait)
}

// Code returns the code by which docs/errors.md lists the error.
func (e *TimeoutError) Code() string { return "list-silent" }

// Remedy returns what the operator can do.
func (e *TimeoutError) Remedy() string {
	return "Check whether the coordinator hangs, is overloaded, or the network to it drops packets. The coordinator is polled again on a new connection, and a late response still counts."
}

// StatusError reports an HTTP status of the coordinator other than 200.
type StatusError struct {
	Addr   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("coordinator %s: HTTP status %d", e.Addr, e.Status)
}

// Code returns the code by which docs/errors.md lists the error.
func (e *StatusError) Code() string { return "list-status" }

// Remedy returns what the operator can do.
func (e *StatusError) Remedy() string {
	return "Check in the coordinator's log why it rejects the request, and whether the configured address is that of a coordinator."
}

// ResponseError reports that the coordinator sent something other than an HTTP response, or a
// response that is too large.
type ResponseError struct {
	Addr     string
	MaxBytes int // most bytes that a body may have
	Err      error
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("coordinator %s: not an HTTP response with at most %d bytes of body: %v", e.Addr, e.MaxBytes, e.Err)
}
func (e *ResponseError) Unwrap() error { return e.Err }

// Code returns the code by which docs/errors.md lists the error.
func (e *ResponseError) Code() string { return "list-spoilt" }

// Remedy returns what the operator can do.
func (e *ResponseError) Remedy() string {
	return "Check whether the configured address is that of a coordinator, and how large its responses are."
}

// UpdateError reports that a response can't be decoded or that one of its updates is invalid.
// Nothing of the response is applied.
type UpdateError struct {
	UpdateIndex uint64 // index of the invalid update; 0, with an empty Key: the response as a whole
	MemberIndex int    // index of the member in the update
	Key         string // JSON key of the invalid value
	Err         error
}

func (e *UpdateError) Error() string {
	if e.UpdateIndex == 0 && e.Key == "" {
		return fmt.Sprintf("directory: %v", e.Err)
	}
	return fmt.Sprintf("directory: event %d: members[%d].%s: %v", e.UpdateIndex, e.MemberIndex, e.Key, e.Err)
}
func (e *UpdateError) Unwrap() error { return e.Err }

// Code returns the code by which docs/errors.md lists the error.
func (e *UpdateError) Code() string { return "list-faulty" }

// Remedy returns what the operator can do.
func (e *UpdateError) Remedy() string {
	return "Correct the node's entry at the coordinator. Until then its whole response is ignored, and the list of media nodes stays as it was."
}

// DNSQueryError reports that the DNS server did not respond to a query, or responded with an
// error.
type DNSQueryError struct {
	Server    string // host:port of the DNS server
	Network   string // "udp" or "tcp"
	QueryName string // domain name in the query
	RCode     int    // the response's RCODE; 0: there was no response
	Err       error  // nil if RCode is set
}

func (e *DNSQueryError) Error() string {
	if e.RCode != 0 {
		return fmt.Sprintf("DNS server %s: %s: RCODE %d", e.Server, e.QueryName, e.RCode)
	}
	return fmt.Sprintf("DNS server %s: %s over %s: %v", e.Server, e.QueryName, e.Network, e.Err)
}
func (e *DNSQueryError) Unwrap() error { return e.Err }

// Code returns the code by which docs/errors.md lists the error.
func (e *DNSQueryError) Code() string { return "dns-no-answer" }

// Remedy returns what the operator can do.
func (e *DNSQueryError) Remedy() string {
	return "Check whether the server at dns-sd.server runs and serves the zone, over UDP and TCP. Records received earlier are used until their TTL expires."
}

// InstanceError reports that the records of one instance of the service can't be used. The
// other instances are used.
type InstanceError struct {
	InstanceName string // domain name of the instance, or of its host
	Record       string // type of the missing or invalid record, or its TXT key
	Err          error
}

func (e *InstanceError) Error() string {
	return fmt.Sprintf("DNS-SD: instance %s: %s: %v", e.InstanceName, e.Record, e.Err)
}
func (e *InstanceError) Unwrap() error { return e.Err }

// Code returns the code by which docs/errors.md lists the error.
func (e *InstanceError) Code() string { return "dns-instance" }

// Remedy returns what the operator can do.
func (e *InstanceError) Remedy() string {
	return "Correct the instance's records in the zone. Until then this media node is left out; the others are used."
}

// RecordError reports that a record in a response can't be decoded. It is left out; the other
// records are used.
type RecordError struct {
	QueryName string // domain name in the query
	QueryType string // record type in the query
	Err       error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("DNS-SD: response for %s %s: %v", e.QueryName, e.QueryType, e.Err)
}
func (e *RecordError) Unwrap() error { return e.Err }

// Code returns the code by which docs/errors.md lists the error.
func (e *RecordError) Code() string { return "dns-unreadable" }

// Remedy returns what the operator can do.
func (e *RecordError) Remedy() string {
	return "Rename instances and hosts that have a dot within a label. Until then the record is left out."
}
