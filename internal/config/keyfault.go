package config

import "fmt"

// KeyFault reports that an environment variable, or a key of the platform's
// configuration, is missing or has a value that can't be used.
type KeyFault struct {
	File string // empty: the environment
	Key  string // path of the key, or name of the variable
	Err  error
}

// Error names the file, the key and what is wrong with its value.
func (e *KeyFault) Error() string {
	if e.File == "" {
		return fmt.Sprintf("%s: %v", e.Key, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.File, e.Key, e.Err)
}

// Unwrap returns what is wrong with the value.
func (e *KeyFault) Unwrap() error { return e.Err }

// Code returns the error's code for operators.
func (e *KeyFault) Code() string { return "config-key" }

// Remedy returns what an operator can do about the error.
func (e *KeyFault) Remedy() string {
	return "correct the key that is named; the platform writes this configuration, so look at what it was started with"
}
