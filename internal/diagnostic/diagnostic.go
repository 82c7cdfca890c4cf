// Package diagnostic defines the interface of all errors that reach an operator: at the start, in
// the log, or in the answer to an operator's call. Each such error is a type of its own, with
// the facts as fields. It has a stable code, under which docs/errors.md lists it, and says
// what the operator can do.
package diagnostic

import (
	"errors"
	"strings"

	"go.uber.org/zap"
)

// Error is an error that reaches an operator.
//
// Code must return a string literal in the method's own body, so that a search for the code
// finds it and a test can compare docs/errors.md with the sources.
type Error interface {
	error
	// Code returns the error's code, such as "list-silent". A code never changes.
	Code() string
	// Remedy returns what the operator can do, as a sentence.
	Remedy() string
}

// FromError returns the outermost Error in err's tree and reports whether there is one.
func FromError(err error) (found Error, ok bool) {
	ok = errors.As(err, &found)
	return found, ok
}

// Fields returns the log fields of err: its text and, if there is an Error in its tree, that
// error's code and remedy.
func Fields(err error) []zap.Field {
	fields := []zap.Field{zap.Error(err)}
	if e, ok := FromError(err); ok {
		fields = append(fields, zap.String("code", e.Code()), zap.String("remedy", e.Remedy()))
	}
	return fields
}

// Text formats err for a terminal. Errors that err joins are on separate lines; an error with a
// code is followed by a line with its code and remedy.
func Text(err error) string {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		if _, hasCode := err.(Error); !hasCode {
			var texts []string
			for _, child := range joined.Unwrap() {
				texts = append(texts, Text(child))
			}
			return strings.Join(texts, "\n")
		}
	}
	if e, ok := FromError(err); ok {
		return err.Error() + "\n    [" + e.Code() + "] " + e.Remedy()
	}
	return err.Error()
}
