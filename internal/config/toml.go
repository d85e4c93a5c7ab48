package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"swiftdeal/internal/settings"
)

// decodeStrict decodes TOML and rejects unknown keys. Errors are of type *FileError.
func decodeStrict(path string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	var faulty *toml.DecodeError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		first := unknown.Errors[0]
		row, column := first.Position()
		return &FileError{path, row, column, keyError(strings.Join(first.Key(), "."), ErrNoSuchKey)}
	case errors.As(err, &faulty):
		row, column := faulty.Position()
		if key := faulty.Key(); len(key) > 0 {
			err = keyError(strings.Join(key, "."), err)
		}
		return &FileError{path, row, column, err}
	}
	return &FileError{Path: path, Err: err}
}

// locateKey wraps an error in a *FileError with the line of the key that the error names; the line is 0 if there is none.
func locateKey(path string, text []byte, err error) error {
	var key *settings.KeyError
	line := 0
	if errors.As(err, &key) {
		line = lineOfKey(text, key.Key)
	}
	return &FileError{Path: path, Line: line, Err: err}
}

// lineOfKey returns the line of a key or table with the given dotted path; 0 if the text does not have it.
func lineOfKey(text []byte, key string) int {
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		name, line := nameOf(&parser, expression)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = name + "."
			if name == key {
				return line
			}
		case unstable.KeyValue:
			if table+name == key {
				return line
			}
		}
	}
	return 0
}

// nameOf returns the dotted name and the line of an expression.
func nameOf(parser *unstable.Parser, expression *unstable.Node) (name string, line int) {
	var parts []string
	for it := expression.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
		if line == 0 {
			line = parser.Shape(it.Node().Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
