package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// requiredKeys lists the keys that each class must have. dedupKeys lists those that a class with the effect "dedup" must have
// as well: the scope and the time within which workers drop repeats.
var (
	requiredKeys = []string{"name", "aimMs", "deadlineMs", "effect", "worth"}
	dedupKeys    = []string{"dedupScope", "repeatWindowMs"}
)

// CheckComplete returns a *KeyError for the first required key that a class lacks, or for a limit on attempts that is not above
// zero. It applies only to settings that replace others; a node may start without these keys.
func CheckComplete(text []byte) error {
	var form struct {
		Limits   map[string]json.RawMessage   `json:"limits"`
		Profiles []map[string]json.RawMessage `json:"profiles"`
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return DecodeError(err)
	}
	for i, profile := range form.Profiles {
		if key := missingKey(profile); key != "" {
			return &KeyError{fmt.Sprintf("settings.profiles[%d].%s", i, key), ErrMissing}
		}
	}
	for key, value := range form.Limits {
		if !strings.EqualFold(key, "maxAttempts") {
			continue
		}
		if number, err := ParseNumber(value); err != nil || number <= 0 {
			return &KeyError{"settings.limits.maxAttempts", fmt.Errorf("%s is not above 0", value)}
		}
	}
	return nil
}

// missingKey returns the first required key that a class lacks; empty: none.
func missingKey(profile map[string]json.RawMessage) string {
	present, dedup := map[string]bool{}, false
	for key, value := range profile {
		present[strings.ToLower(key)] = string(value) != "null"
		if strings.EqualFold(key, "effect") && string(value) == `"dedup"` {
			dedup = true
		}
	}
	required := requiredKeys
	if dedup {
		required = append(slices.Clone(requiredKeys), dedupKeys...)
	}
	for _, key := range required {
		if !present[strings.ToLower(key)] {
			return key
		}
	}
	return ""
}
