package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"swiftdeal/internal/settings"
)

// defaultName is the name of a node that is not given one.
const defaultName = "swiftdeal"

// platformLimits holds the resources that the platform lets a node use.
type platformLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// configFile is the JSON form of the file that GW_CONFIG names; unknown keys are ignored.
type configFile struct {
	Name            string          `json:"name"`
	Listen          string          `json:"listen"`
	Control         string          `json:"control"`
	Discovery       string          `json:"discovery"`
	Seed            string          `json:"seed"`
	Limits          platformLimits  `json:"limits"`
	CachedEndpoints json.RawMessage `json:"known"`
	Settings        json.RawMessage `json:"settings"`
}

// Load reads the configuration. The arguments stand for os.Getenv and os.ReadFile. A GW_ variable that is set overrides the
// file's key.
func Load(getenv func(string) string, open func(string) ([]byte, error)) (*Config, error) {
	return load(getenv, open, false)
}

// Reload reads the file again for a running node. The file's discovery key has precedence over the environment variable here:
// the variable cannot change while the process runs, so a new address in the file could otherwise never take effect.
//
// The file must be complete. A key that the running configuration's file has may not be missing, because its default would
// then silently replace the operator's value, and each class must have all of its required keys.
func Reload(getenv func(string) string, open func(string) ([]byte, error), running *Config) (*Config, error) {
	c, err := load(getenv, open, true)
	if err == nil {
		err = c.checkComplete(running)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", getenv("GW_CONFIG"), err)
	}
	return c, nil
}

// checkComplete returns an error unless a configuration can replace the running one: it has every key that is recorded of the
// running one, passes settings.CheckComplete, and its balance settings are valid.
func (c *Config) checkComplete(running *Config) error {
	for _, key := range slices.Sorted(maps.Keys(running.usedKeys)) {
		if !c.usedKeys[key] {
			return keyError(key, fmt.Errorf("%w, and the running configuration has it", settings.ErrMissing))
		}
	}
	if err := settings.CheckComplete(c.settingsText); err != nil {
		return err
	}
	return c.Settings.Balance.Validate()
}

// load reads the file and the environment variables; reload tells whether the node is already running.
func load(getenv func(string) string, open func(string) ([]byte, error), reload bool) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, keyError("GW_CONFIG", errors.New("not set; it names the configuration file"))
	}
	text, err := open(path)
	if err != nil {
		return nil, keyError("GW_CONFIG", err)
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, keyError("GW_CONFIG", &FileError{Path: path, Err: err})
	}
	f.applyEnv(getenv)
	c, err := f.toConfig(f.discoveryAddresses(getenv("GW_DISCOVERY"), reload))
	if err != nil {
		return nil, err
	}
	c.fileText = text
	c.usedKeys = map[string]bool{}
	collectKeys(text, reflect.TypeFor[configFile](), "", c.usedKeys)
	collectKeys(f.Settings, settings.DocumentType, "settings.", c.usedKeys)
	return c, nil
}

// applyEnv overrides the file's keys with the environment variables that are set, except for discovery, see
// discoveryAddresses.
func (f *configFile) applyEnv(getenv func(string) string) {
	override := func(key *string, variable string) {
		if value := getenv(variable); value != "" {
			*key = value
		}
	}
	override(&f.Name, "GW_NAME")
	override(&f.Listen, "GW_LISTEN")
	override(&f.Control, "GW_CONTROL")
}

// discoveryAddresses returns the addresses of discovery that the file and the environment variable name. At a start, the key
// of the file may be invalid if the variable is set.
func (f *configFile) discoveryAddresses(variable string, reload bool) DiscoveryAddresses {
	addresses := DiscoveryAddresses{Environment: variable, File: f.Discovery, Reloaded: reload}
	if !reload && variable != "" && checkAddress(f.Discovery) != nil {
		addresses.File = ""
	}
	return addresses
}

// collectKeys adds to keys the paths, in lower case, of the keys of a JSON object that have a field in form. It does not
// descend into lists, and leaves out the last known endpoint list, because a running node has a newer one.
func collectKeys(text []byte, form reflect.Type, path string, keys map[string]bool) {
	var object map[string]json.RawMessage
	if json.Unmarshal(text, &object) != nil {
		return
	}
	for key, value := range object {
		field, ok := settings.FieldByKey(form, key)
		if !ok || key == "known" {
			continue
		}
		keyPath := path + strings.ToLower(key)
		keys[keyPath] = true
		if field.Type.Kind() == reflect.Struct {
			collectKeys(value, field.Type, keyPath+".", keys)
		}
	}
}

// toConfig validates the file and converts it to a Config.
func (f *configFile) toConfig(discovery DiscoveryAddresses) (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Control: f.Control, Discovery: discovery}
	if c.Name == "" {
		c.Name = defaultName
	}
	if err := checkAddress(c.Listen); err != nil {
		return nil, keyError("listen", err)
	}
	if err := c.Discovery.Validate(); err != nil {
		return nil, err
	}
	if c.Control != "" {
		if err := checkAddress(c.Control); err != nil {
			return nil, keyError("control", err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, keyError("seed", fmt.Errorf("%q is not a hexadecimal number of at most 64 bits", f.Seed))
	}
	if len(f.CachedEndpoints) > 0 {
		if c.CachedEndpoints, err = ParseEndpointList(f.CachedEndpoints); err != nil {
			return nil, keyError("known", err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, keyError("settings", settings.ErrMissing)
	}
	return c, c.applySettings(f.Settings, f.Limits)
}

// applySettings parses the settings and derives the limits from them and from the platform's resources.
func (c *Config) applySettings(text json.RawMessage, platform platformLimits) (err error) {
	if c.Settings, err = settings.Parse(text); err != nil {
		return err
	}
	if len(c.Settings.Balance.Classes) == 0 {
		return keyError("settings.profiles", errors.New("no class given"))
	}
	seen := map[string]bool{}
	for i, name := range c.Settings.ClassNames() {
		if name == "" || seen[name] {
			return keyError(fmt.Sprintf("settings.profiles[%d].name", i), fmt.Errorf("%q is empty or a duplicate", name))
		}
		seen[name] = true
	}
	c.platformLimits, c.settingsText = platform, text
	c.Limits, err = platform.deriveLimits(c.Settings)
	return err
}

// checkAddress checks that an address has a host and a port other than 0.
func checkAddress(address string) error {
	if address == "" {
		return settings.ErrMissing
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Errorf("%q has no valid port", address)
	}
	return nil
}
