// Package remedy is the one seam for errors that reach an operator: at the start,
// in the log, in an answer to a call. Each is a type of its own with its facts as
// fields, and gives a stable code, by which docs/errors.md is looked up, and what
// the operator can do.
package remedy

import (
	"errors"
	"strings"

	"go.uber.org/zap"
)

// Error is an error that reaches an operator.
//
// Code returns a string literal in the method's own body, so that a search for the
// code leads to it and a test can hold docs/errors.md against the sources.
type Error interface {
	error
	Code() string   // such as "list-silent"; it never changes
	Remedy() string // what the operator can do, as a sentence
}

// FromError returns the outermost Error in err's tree, if there is one.
func FromError(err error) (found Error, ok bool) {
	ok = errors.As(err, &found)
	return found, ok
}

// Fields is err for the log. An err without a code has its text alone.
func Fields(err error) []zap.Field {
	fields := []zap.Field{zap.Error(err)}
	if e, ok := FromError(err); ok {
		fields = append(fields, zap.String("code", e.Code()), zap.String("remedy", e.Remedy()))
	}
	return fields
}

// Text is err for a terminal: each that err joins on lines of its own, those with a
// code followed by it and by what to do.
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
