package config

import (
	"slices"
	"testing"
)

// Guards against a process that calls an address which discovery has left, because a reload told only its predecessor of the move.
func TestDiscoveryAddresses(t *testing.T) {
	start := func(variable, file string) DiscoveryAddresses {
		return DiscoveryAddresses{Environment: variable, File: file}
	}
	moved := start("a", "a").Reload("b")
	for _, c := range []struct {
		name string
		got  DiscoveryAddresses
		want []string
	}{
		{"start without a variable", start("", "a"), []string{"a"}},
		{"start without a key", start("a", ""), []string{"a"}},
		{"start, both the same", start("a", "a"), []string{"a"}},
		{"start after a move, or with a wrong file", start("a", "b"), []string{"a", "b"}},
		{"move", moved, []string{"b"}},
		{"two moves", moved.Reload("c"), []string{"c"}},
		{"move and back", moved.Reload("a"), []string{"a"}},
		{"move, then a reload of other keys", moved.Reload("b"), []string{"b"}},
		{"key added", start("a", "").Reload("b"), []string{"b"}},
		{"reload without a key", start("a", "").Reload(""), []string{"a"}},
		{"wrong file, reload of other keys", start("a", "z").Reload("z"), []string{"z", "a"}},
		{"replaced, nothing moved", start("a", "a").Inherit(start("a", "a")), []string{"a"}},
		{"replaced, wrong file", start("a", "z").Inherit(start("a", "z")), []string{"a", "z"}},
		{"replaced after a move", start("a", "b").Inherit(moved), []string{"b"}},
		{"replaced after two moves", start("a", "c").Inherit(moved.Reload("c")), []string{"c"}},
		{"replaced twice", start("a", "b").Inherit(start("a", "b").Inherit(moved)), []string{"b"}},
		{"replaced, reload of other keys", start("a", "b").Inherit(moved).Reload("b"), []string{"b"}},
		{"replaced, then a move", start("a", "b").Inherit(moved).Reload("c"), []string{"c"}},
		{"replaced before the reload of a newer file", start("a", "c").Inherit(moved), []string{"b", "c"}},
		{"replaced before the reload, then reloaded", start("a", "c").Inherit(moved).Reload("c"), []string{"c"}},
		{"replaced with another variable", start("d", "b").Inherit(moved), []string{"d", "b"}},
	} {
		if got := c.got.List(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A variable that is set makes up for a file whose key is invalid at the start, but not at a reload.
func TestInvalidDiscoveryKey(t *testing.T) {
	file := configFile{Discovery: "nowhere"}
	if got := file.discoveryAddresses("127.0.0.1:1", false); got.Validate() != nil || !slices.Equal(got.List(), []string{"127.0.0.1:1"}) {
		t.Errorf("at a start: %+v", got)
	}
	if got := file.discoveryAddresses("127.0.0.1:1", true); got.Validate() == nil {
		t.Errorf("at a reload: %+v", got)
	}
}
