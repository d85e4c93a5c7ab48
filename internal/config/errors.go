package config

import (
	"errors"
	"fmt"

	"swiftdeal/internal/settings"
)

// Errors about a key; a settings.KeyError wraps them.
var (
	// ErrNoSuchKey means that the file or the settings have no key of this name; it is then a typo.
	ErrNoSuchKey = errors.New("no such key")
	// ErrNodeSpecific means that each node has its own value for the key.
	ErrNodeSpecific = errors.New("each node's own, it cannot be changed for the fleet")
	// ErrNamedTwice means that a key occurs twice in one object.
	ErrNamedTwice = errors.New("named twice")
	// ErrNotObject means that a value must be a JSON object and is not.
	ErrNotObject = errors.New("not an object")
	// ErrNotList means that a value must be a JSON array and is not.
	ErrNotList = errors.New("not a list")
)

// FileError is an error with its position in a file.
type FileError struct {
	Path   string
	Line   int // from 1; 0: unknown
	Column int // from 1; 0: unknown
	Err    error
}

// Error returns the message, prefixed with the path and the position.
func (e *FileError) Error() string {
	switch {
	case e.Column > 0:
		return fmt.Sprintf("%s:%d:%d: %v", e.Path, e.Line, e.Column, e.Err)
	case e.Line > 0:
		return fmt.Sprintf("%s:%d: %v", e.Path, e.Line, e.Err)
	}
	return fmt.Sprintf("%s: %v", e.Path, e.Err)
}

// Unwrap returns the error without its position.
func (e *FileError) Unwrap() error { return e.Err }

// keyError wraps err in a *settings.KeyError; it returns nil if err is nil.
func keyError(key string, err error) error {
	if err == nil {
		return nil
	}
	return &settings.KeyError{Key: key, Err: err}
}

// checkRange returns an error about the key if its value is not between least and most, both included.
func checkRange(key string, value, least, most int64) error {
	if value < least || value > most {
		return keyError(key, &settings.RangeError{Value: value, Min: least, Max: most})
	}
	return nil
}
