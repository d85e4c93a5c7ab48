package node

import (
	"sync"

	"swiftdeal/internal/handover"
)

// configFile holds the text of the configuration file in force, and which file was rejected last, for a process that replaces this
// one. It is safe for concurrent use.
type configFile struct {
	mu       sync.Mutex
	text     []byte
	rejected string // its handover.FileHash; empty if none, or if a later one was applied
}

// apply records that a file is in force.
func (f *configFile) apply(text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text, f.rejected = text, ""
}

// reject records that a file was rejected.
func (f *configFile) reject(text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejected = handover.FileHash(text)
}

// current returns the text in force, or nil if it is too long to be handed over, and the hash of the file that was rejected.
func (f *configFile) current() (text []byte, rejected string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.text) > handover.MaxConfigFileBytes {
		return nil, ""
	}
	return f.text, f.rejected
}
