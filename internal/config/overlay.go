package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"swiftdeal/internal/settings"
)

// nodeSpecificKeys lists the keys of the settings, in lower case, that no version of the fleet's settings changes: those that
// differ between nodes, such as zone and index, and those that settings.Settings.NeedsRestart compares.
var nodeSpecificKeys = []string{
	"az", "me", "balancers", "stepms", "loadreport", "limits.dialtimeoutms", "limits.connidlems", "familyinfo.reportx0",
	"familyinfo.reportx1",
}

// LoadOverlay reads and checks a file with settings for a whole fleet: {"settings": {...}}. It returns the settings as compact
// JSON and the positions of their keys. Errors name the file, the line and the key.
func LoadOverlay(path string, open func(string) ([]byte, error)) (overlay []byte, locations *KeyLocations, err error) {
	text, err := open(path)
	if err != nil {
		return nil, nil, fmt.Errorf("settings: %w", err)
	}
	locations = &KeyLocations{path: path, text: text, offsets: map[string]int{}}
	file, err := decodeOverlayFile(text, locations)
	if err != nil {
		return nil, nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(file)) {
		if key == "settings" {
			continue
		}
		reason := ErrNoSuchKey
		if _, known := settings.FieldByKey(reflect.TypeFor[configFile](), key); known {
			reason = ErrNodeSpecific
		}
		return nil, nil, locations.Locate(keyError(key, reason))
	}
	if file["settings"] == nil {
		return nil, nil, &FileError{Path: path, Err: keyError("settings", settings.ErrMissing)}
	}
	if err := CheckOverlay(file["settings"]); err != nil {
		return nil, nil, locations.Locate(err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, file["settings"]); err != nil {
		return nil, nil, err
	}
	return compact.Bytes(), locations, nil
}

// decodeOverlayFile decodes an object, records the positions of its keys, and rejects duplicate keys.
func decodeOverlayFile(text []byte, locations *KeyLocations) (map[string]json.RawMessage, error) {
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		line := 0
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			line = locations.lineAt(int(syntax.Offset))
		}
		return nil, &FileError{Path: locations.path, Line: line, Err: err}
	}
	var file map[string]json.RawMessage
	if json.Unmarshal(text, &file) != nil {
		err := fmt.Errorf("%w: expected {\"settings\": {...}}", ErrNotObject)
		return nil, &FileError{Path: locations.path, Line: 1, Err: err}
	}
	if duplicate := locations.recordKeys(); duplicate != "" {
		return nil, locations.Locate(keyError(duplicate, ErrNamedTwice))
	}
	return file, nil
}

// CheckOverlay checks settings for a whole fleet as an operator gives them. It rejects keys that no node reads, which are
// typos, and node-specific keys, which cannot apply to all nodes. Errors name the key. It does not check the result of
// merging them with a node's own settings; WithOverlay does.
func CheckOverlay(overlay []byte) error {
	if err := checkOverlayKeys(overlay, settings.DocumentType, ""); err != nil {
		return err
	}
	if err := json.Unmarshal(overlay, reflect.New(settings.DocumentType).Interface()); err != nil {
		return settings.DecodeError(err)
	}
	return nil
}

// checkOverlayKeys checks that every key of a value has a field in form and is not node-specific.
func checkOverlayKeys(text json.RawMessage, form reflect.Type, path string) error {
	name := "settings" + strings.TrimSuffix("."+path, ".")
	switch form.Kind() {
	case reflect.Struct:
		var object map[string]json.RawMessage
		if json.Unmarshal(text, &object) != nil || object == nil {
			return keyError(name, ErrNotObject)
		}
		return checkObjectKeys(object, form, path)
	case reflect.Slice:
		var list []json.RawMessage
		if json.Unmarshal(text, &list) != nil {
			return keyError(name, ErrNotList)
		}
		for i, entry := range list {
			if err := checkOverlayKeys(entry, form.Elem(), fmt.Sprintf("%s[%d].", strings.TrimSuffix(path, "."), i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkObjectKeys checks the keys of an object and, recursively, their values.
func checkObjectKeys(object map[string]json.RawMessage, form reflect.Type, path string) error {
	seen := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(object)) {
		keyPath, value := path+key, object[key]
		lower := strings.ToLower(keyPath)
		field, known := settings.FieldByKey(form, key)
		var err error
		switch {
		case !known:
			err = ErrNoSuchKey
		case slices.Contains(nodeSpecificKeys, lower):
			err = ErrNodeSpecific
		case seen[lower]:
			err = ErrNamedTwice
		case string(value) == "null":
			err = errors.New("null is not allowed; leave the key out")
		}
		if err != nil {
			return keyError("settings."+keyPath, err)
		}
		seen[lower] = true
		if err := checkOverlayKeys(value, field.Type, keyPath+"."); err != nil {
			return err
		}
	}
	return nil
}

// WithOverlay returns this configuration with a version of the fleet's settings applied over the node's own. Each top-level
// key of the overlay replaces the node's value as a whole, except for node-specific keys within it. The result must pass the
// checks of a reload. Keys that this release does not know are ignored, because a later release may have added them.
func (c *Config) WithOverlay(overlay []byte) (*Config, error) {
	text, err := mergeSettings(overlay, c.settingsText)
	if err != nil {
		return nil, err
	}
	merged := *c
	if err := merged.applySettings(text, c.platformLimits); err != nil {
		return nil, err
	}
	merged.usedKeys = map[string]bool{}
	for key := range c.usedKeys {
		if !strings.HasPrefix(key, "settings.") {
			merged.usedKeys[key] = true
		}
	}
	collectKeys(text, settings.DocumentType, "settings.", merged.usedKeys)
	if err := merged.checkComplete(c); err != nil {
		return nil, err
	}
	return &merged, nil
}

// mergeSettings returns base with the keys of overlay replaced, except for node-specific ones.
func mergeSettings(overlay, base []byte) ([]byte, error) {
	overlayKeys, merged := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := json.Unmarshal(overlay, &overlayKeys); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := json.Unmarshal(base, &merged); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, key := range slices.Sorted(maps.Keys(overlayKeys)) {
		lower, value := strings.ToLower(key), overlayKeys[key]
		if slices.Contains(nodeSpecificKeys, lower) {
			continue
		}
		for existing := range merged {
			if !strings.EqualFold(existing, key) {
				continue
			}
			var err error
			if value, err = keepNodeSpecificKeys(lower, value, merged[existing]); err != nil {
				return nil, keyError("settings."+key, err)
			}
			delete(merged, existing)
		}
		merged[key] = value
	}
	return json.Marshal(merged)
}

// keepNodeSpecificKeys returns value, the new value of a key, with its node-specific keys taken from the existing value.
func keepNodeSpecificKeys(key string, value, existing json.RawMessage) (json.RawMessage, error) {
	if !slices.ContainsFunc(nodeSpecificKeys, func(own string) bool { return strings.HasPrefix(own, key+".") }) {
		return value, nil
	}
	isNodeSpecific := func(k string) bool { return slices.Contains(nodeSpecificKeys, key+"."+strings.ToLower(k)) }
	var newKeys, existingKeys map[string]json.RawMessage
	if err := json.Unmarshal(value, &newKeys); err != nil {
		return nil, err
	}
	if json.Unmarshal(existing, &existingKeys) != nil || newKeys == nil {
		return value, nil
	}
	maps.DeleteFunc(newKeys, func(k string, _ json.RawMessage) bool { return isNodeSpecific(k) })
	for k, v := range existingKeys {
		if isNodeSpecific(k) {
			newKeys[k] = v
		}
	}
	return json.Marshal(newKeys)
}
