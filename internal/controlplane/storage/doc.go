// Package storage keeps the persistent state of a control plane replica in one bbolt file (crash-safe, one writer), so that the
// replica comes back as the same voter after a restart. An inconsistent file is rejected with an error that names the reason, and
// is never repaired: a voter that has lost part of its state must not act as if it still had all of it.
package storage
