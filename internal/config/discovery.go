package config

import (
	"slices"

	"swiftdeal/internal/settings"
)

// DiscoveryAddresses holds the addresses of discovery that a process was given, and which of them a reload has put in force.
// Two can differ although both were right once: after discovery has moved, a process that is started anew still gets the
// variable of the first start; and a file may name an address at which discovery never was. Its JSON form is the one used in
// a handover. The zero value names no address.
type DiscoveryAddresses struct {
	Environment string `json:"Environment,omitempty"` // the GW_DISCOVERY variable; empty if not set
	File        string `json:"File,omitempty"`        // the key of the file that is in force; empty if the file has none
	Reloaded    bool   `json:"Reloaded,omitempty"`    // a reload has put the file's address before the variable's
	Moved       bool   `json:"Moved,omitempty"`       // a reload has changed the file's address, so that the variable is out of date
	NewerFile   string `json:"NewerFile,omitempty"`   // the key of a later file that no reload has put in force; empty if there is none
}

// List returns the addresses to call, without duplicates, in order of preference: a later one is called only while an earlier
// one does not answer.
func (a DiscoveryAddresses) List() []string {
	order := []string{a.Environment, a.File, a.NewerFile}
	switch {
	case a.Moved:
		order = []string{a.File, a.NewerFile}
	case a.Reloaded:
		order = []string{a.File, a.Environment, a.NewerFile}
	}
	var list []string
	for _, address := range order {
		if address != "" && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// Preferred returns the first address of List; empty if there is none.
func (a DiscoveryAddresses) Preferred() string {
	if list := a.List(); len(list) > 0 {
		return list[0]
	}
	return ""
}

// Reload returns the addresses of a running process after it has reloaded a file with the given key.
func (a DiscoveryAddresses) Reload(file string) DiscoveryAddresses {
	moved := file != "" && (a.Moved || file != a.File)
	return DiscoveryAddresses{Environment: a.Environment, File: file, Reloaded: true, Moved: moved}
}

// Inherit returns the addresses of a process that replaces another one. If both were started with the same variable, what
// reloads have put in force at the predecessor stays so; the file, which a reload may be about to put in force, is tried last.
// Another variable is a new instruction of the operator, which has precedence.
func (a DiscoveryAddresses) Inherit(predecessor DiscoveryAddresses) DiscoveryAddresses {
	if a.Environment != predecessor.Environment {
		return a
	}
	inherited := predecessor
	inherited.NewerFile = ""
	if a.File != predecessor.File {
		inherited.NewerFile = a.File
	}
	return inherited
}

// Validate checks all addresses and that there is one.
func (a DiscoveryAddresses) Validate() error {
	list := a.List()
	if len(list) == 0 {
		return keyError("discovery", settings.ErrMissing)
	}
	for _, address := range list {
		if err := checkAddress(address); err != nil {
			return keyError("discovery", err)
		}
	}
	return nil
}
