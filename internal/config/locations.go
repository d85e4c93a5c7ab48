package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// KeyLocations maps the keys of a JSON file to their positions in it.
type KeyLocations struct {
	path    string
	text    []byte
	offsets map[string]int // byte offsets by key path, in lower case
}

// Locate wraps an error in a *FileError with the line of the key with which the error's text begins or, if the file lacks
// that key, of its nearest ancestor. It parses the text because the error may have come from another node as a string.
func (l *KeyLocations) Locate(err error) error {
	for key := keyOfText(err.Error()); key != ""; key = parentOf(key) {
		for _, name := range []string{key, key + "ms"} { // package balance names keys without the unit suffix
			if offset, ok := l.offsets[name]; ok {
				return &FileError{Path: l.path, Line: l.lineAt(offset), Err: err}
			}
		}
	}
	return &FileError{Path: l.path, Err: err}
}

// keyOfText returns the key with which an error's text begins, in lower case.
func keyOfText(text string) string {
	key, rest, _ := strings.Cut(strings.TrimPrefix(text, "balance: "), ": ")
	next, _, _ := strings.Cut(rest, ": ")
	if key == "settings" && strings.HasPrefix(next, "profiles[") {
		key += "." + next
	}
	key = strings.ToLower(key)
	if class, ok := strings.CutPrefix(key, "classes["); ok { // package balance's name for settings.profiles
		return "settings.profiles[" + class
	}
	return key
}

// parentOf returns the path of a key's parent; empty: none.
func parentOf(key string) string { return key[:max(strings.LastIndexAny(key, ".["), 0)] }

// lineAt returns the line number of an offset, from 1.
func (l *KeyLocations) lineAt(offset int) int {
	before := l.text[:min(max(offset, 0), len(l.text))]
	return 1 + bytes.Count(before, []byte{'\n'})
}

// recordKeys records the positions of all keys in the text, which must be valid JSON. It returns the first key that occurs
// twice in one object; empty: none.
func (l *KeyLocations) recordKeys() (duplicate string) {
	scanner := keyScanner{locations: l, decoder: json.NewDecoder(bytes.NewReader(l.text))}
	scanner.scanValue("")
	return scanner.duplicate
}

// keyScanner walks through JSON and records the positions of its keys.
type keyScanner struct {
	locations *KeyLocations
	decoder   *json.Decoder
	duplicate string // the first key that occurs twice in one object
}

// scanValue scans the value at a path.
func (s *keyScanner) scanValue(path string) {
	token, err := s.decoder.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		s.scanObject(path)
	case json.Delim('['):
		s.scanList(path)
	}
}

// scanObject scans an object whose opening brace has been read.
func (s *keyScanner) scanObject(path string) {
	for s.decoder.More() {
		token, err := s.decoder.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return
		}
		key := strings.TrimPrefix(path+"."+name, ".")
		lower := strings.ToLower(key)
		if _, seen := s.locations.offsets[lower]; seen && s.duplicate == "" {
			s.duplicate = key
		}
		s.locations.offsets[lower] = int(s.decoder.InputOffset())
		s.scanValue(key)
	}
	s.decoder.Token()
}

// scanList scans a list whose opening bracket has been read.
func (s *keyScanner) scanList(path string) {
	for i := 0; s.decoder.More(); i++ {
		key := fmt.Sprintf("%s[%d]", path, i)
		offset := int(s.decoder.InputOffset())
		rest := s.locations.text[offset:]
		offset += len(rest) - len(bytes.TrimLeft(rest, ", \t\r\n"))
		s.locations.offsets[strings.ToLower(key)] = offset
		s.scanValue(key)
	}
	s.decoder.Token()
}
