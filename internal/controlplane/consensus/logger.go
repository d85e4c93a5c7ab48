package consensus

// discardLogger is a raft.Logger that drops messages, since this package logs the relevant events itself. The fatal ones, for
// states that the library considers impossible, panic; see Replica.discardOnPanic.
type discardLogger struct{}

// Debug implements raft.Logger.
func (discardLogger) Debug(...any) {}

// Debugf implements raft.Logger.
func (discardLogger) Debugf(string, ...any) {}

// Error implements raft.Logger.
func (discardLogger) Error(...any) {}

// Errorf implements raft.Logger.
func (discardLogger) Errorf(string, ...any) {}

// Info implements raft.Logger.
func (discardLogger) Info(...any) {}

// Infof implements raft.Logger.
func (discardLogger) Infof(string, ...any) {}

// Warning implements raft.Logger.
func (discardLogger) Warning(...any) {}

// Warningf implements raft.Logger.
func (discardLogger) Warningf(string, ...any) {}

// Fatal implements raft.Logger.
func (discardLogger) Fatal(args ...any) { panic(args) }

// Fatalf implements raft.Logger.
func (discardLogger) Fatalf(_ string, args ...any) { panic(args) }

// Panic implements raft.Logger.
func (discardLogger) Panic(args ...any) { panic(args) }

// Panicf implements raft.Logger.
func (discardLogger) Panicf(_ string, args ...any) { panic(args) }
