package directory

import (
	"fmt"
	"time"
)

// UnreachableError: no connection to the coordinator can be opened.
type UnreachableError struct {
	Addr string
	Err  error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("coordinator %s: %v", e.Addr, e.Err) }
func (e *UnreachableError) Unwrap() error { return e.Err }

// Code is the page's name for it.
func (e *UnreachableError) Code() string { return "list-unreachable" }

// Remedy says what to do.
func (e *UnreachableError) Remedy() string {
	return "Start the coordinator, or name its present address in the configuration and send SIGHUP. The list stays as it was told last."
}

// ConnClosedError: the coordinator ended a connection without an answer to the poll on it.
type ConnClosedError struct {
	Addr string
	Err  error // io.EOF: in order
}

func (e *ConnClosedError) Error() string {
	return fmt.Sprintf("coordinator %s: connection ended without an answer: %v", e.Addr, e.Err)
}
func (e *ConnClosedError) Unwrap() error { return e.Err }

// Code is the page's name for it.
func (e *ConnClosedError) Code() string { return "list-closed" }

// Remedy says what to do.
func (e *ConnClosedError) Remedy() string {
	return "None once: it is asked again at once. If it goes on, look whether the coordinator or a relay before it restarts or cuts connections."
}

// TimeoutError: the coordinator did not answer in time. Its connection is taken as dead.
type TimeoutError struct {
	Addr    string
	MaxWait time.Duration // that it was asked to hold the poll
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("coordinator %s: no answer within %v to a poll held for up to %v", e.Addr, e.MaxWait+responseMargin, e.MaxWait)
}

// Code is the page's name for it.
func (e *TimeoutError) Code() string { return "list-silent" }

// Remedy says what to do.
func (e *TimeoutError) Remedy() string {
	return "Look whether the coordinator stands still or the network to it drops packets. It is asked again on a new connection."
}

// StatusError: the coordinator answered with something else than 200.
type StatusError struct {
	Addr   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("coordinator %s: status %d", e.Addr, e.Status)
}

// Code is the page's name for it.
func (e *StatusError) Code() string { return "list-status" }

// Remedy says what to do.
func (e *StatusError) Remedy() string {
	return "Look in the coordinator's log why it says no, and whether the address is that of a coordinator."
}

// ResponseError: what the coordinator sent is no answer, or one over Most bytes.
type ResponseError struct {
	Addr     string
	MaxBytes int
	Err      error
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("coordinator %s: no HTTP answer of up to %d bytes: %v", e.Addr, e.MaxBytes, e.Err)
}
func (e *ResponseError) Unwrap() error { return e.Err }

// Code is the page's name for it.
func (e *ResponseError) Code() string { return "list-spoilt" }

// Remedy says what to do.
func (e *ResponseError) Remedy() string {
	return "Look whether the address is that of a coordinator, and how much it sends at once."
}

// UpdateError: an answer can't be read or one of its events is wrong. None of it counts.
type UpdateError struct {
	UpdateIndex uint64 // its number; 0: the answer as a whole
	MemberIndex int    // its place in the event, from 0
	Key         string // at fault
	Err         error
}

func (e *UpdateError) Error() string {
	if e.UpdateIndex == 0 && e.Key == "" {
		return fmt.Sprintf("directory: %v", e.Err)
	}
	return fmt.Sprintf("directory: event %d: members[%d].%s: %v", e.UpdateIndex, e.MemberIndex, e.Key, e.Err)
}
func (e *UpdateError) Unwrap() error { return e.Err }

// Code is the page's name for it.
func (e *UpdateError) Code() string { return "list-faulty" }

// Remedy says what to do.
func (e *UpdateError) Remedy() string {
	return "Correct the node's entry at the coordinator. Until then nothing of the answer counts, and the list stays as it was."
}

// DNSQueryError: the DNS server did not answer a question, or said that it can't.
type DNSQueryError struct {
	Server    string
	Network   string // "udp" or "tcp"
	QueryName string // that was asked for
	RCode     int    // the RCODE that it said no with; 0: there was no answer
	Err       error  // nil where there is a Status
}

func (e *DNSQueryError) Error() string {
	if e.RCode != 0 {
		return fmt.Sprintf("DNS server %s: %s: code %d", e.Server, e.QueryName, e.RCode)
	}
	return fmt.Sprintf("DNS server %s: %s over %s: %v", e.Server, e.QueryName, e.Network, e.Err)
}
func (e *DNSQueryError) Unwrap() error { return e.Err }

// Code is the page's name for it.
func (e *DNSQueryError) Code() string { return "dns-no-answer" }

// Remedy says what to do.
func (e *DNSQueryError) Remedy() string {
	return "Look whether the server at dns-sd.server runs and answers for the zone, over UDP and TCP. What it said before stands until its TTL."
}

// InstanceError: the records of one instance of the service can't be used. The others count.
type InstanceError struct {
	InstanceName string // of the instance
	Record       string // of the record at fault
	Err          error
}

func (e *InstanceError) Error() string {
	return fmt.Sprintf("DNS-SD: instance %s: %s: %v", e.InstanceName, e.Record, e.Err)
}
func (e *InstanceError) Unwrap() error { return e.Err }

// Code is the page's name for it.
func (e *InstanceError) Code() string { return "dns-instance" }

// Remedy says what to do.
func (e *InstanceError) Remedy() string {
	return "Correct the instance's records in the zone. Until then the node is left out; the others are used."
}

// RecordError: a record in an answer can't be read. It is left out; the others count.
type RecordError struct {
	QueryName string // that was asked for
	QueryType string // that was asked for
	Err       error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("DNS-SD: answer for %s %s: %v", e.QueryName, e.QueryType, e.Err)
}
func (e *RecordError) Unwrap() error { return e.Err }

// Code is the page's name for it.
func (e *RecordError) Code() string { return "dns-unreadable" }

// Remedy says what to do.
func (e *RecordError) Remedy() string {
	return "Name instances and hosts without a dot within a label. Until then the record is left out."
}
