package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Errors about a key; a KeyError wraps them.
var (
	// ErrMissing means that a required key is missing.
	ErrMissing = errors.New("missing")
	// ErrNegative means that a value is below zero and must not be.
	ErrNegative = errors.New("negative")
)

// KeyError is an error about a key of the configuration, such as settings.profiles[0].effect.
type KeyError struct {
	Key string
	Err error // the problem
}

// Error returns the message, prefixed with the key.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the error without the key.
func (e *KeyError) Unwrap() error { return e.Err }

// UnknownNameError means that a value is not one of the names that its key may have.
type UnknownNameError struct {
	What  string // what the name stands for, such as effect
	Name  string
	Known []string // the allowed names
}

// Error lists the allowed names.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("unknown %s %q: it is one of %s", e.What, e.Name, strings.Join(e.Known, ", "))
}

// RangeError means that a number is out of the range that its key allows.
type RangeError struct {
	Value    any
	Min, Max any // bounds, both included; nil: none
}

// Error gives the allowed range.
func (e *RangeError) Error() string {
	switch {
	case e.Min != nil && e.Max != nil:
		return fmt.Sprintf("%v is out of range, %v to %v", e.Value, e.Min, e.Max)
	case e.Min != nil:
		return fmt.Sprintf("%v is out of range, %v at least", e.Value, e.Min)
	}
	return fmt.Sprintf("%v is out of range", e.Value)
}

// TypeError means that a value has a JSON type that its key does not allow.
type TypeError struct {
	JSONType string // of the value: string, number, object, ...
}

// Error gives the type of the value.
func (e *TypeError) Error() string { return "a " + e.JSONType + ", which it cannot be" }

// parseName returns the value that a name stands for, or an *UnknownNameError.
func parseName[V any](names map[string]V, what, name string) (V, error) {
	value, ok := names[name]
	if ok {
		return value, nil
	}
	known := slices.DeleteFunc(slices.Sorted(maps.Keys(names)), func(n string) bool { return n == "" })
	return value, &UnknownNameError{What: what, Name: name, Known: known}
}

// DecodeError converts an error of encoding/json, from decoding into DocumentType, into one that names the key.
func DecodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		key := strings.TrimSuffix("settings."+wrongType.Field, ".")
		return &KeyError{key, &TypeError{wrongType.Value}}
	}
	return fmt.Errorf("settings: %w", err)
}
