package simulation

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
)

// violationMessage is what a node logs when one of its own checks finds a violated invariant.
const violationMessage = "invariant violated"

// selfChecks collects the violations that nodes log. The nodes' goroutines add to it; the simulation reads it after each step.
type selfChecks struct {
	mu   sync.Mutex
	seen []string
}

// take returns the violations since the last call, sorted so that their order does not depend on goroutine scheduling.
func (o *selfChecks) take() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.seen
	o.seen = nil
	slices.Sort(list)
	return list
}

// selfCheckHandler is a log handler that adds logged violations to selfChecks and passes all records on.
type selfCheckHandler struct {
	slog.Handler
	checks *selfChecks
	node   string
}

// Enabled implements slog.Handler: violations are told whatever the log holds.
func (h selfCheckHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || h.Handler.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h selfCheckHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == violationMessage {
		text := h.node
		r.Attrs(func(a slog.Attr) bool {
			text += fmt.Sprintf(" %s=%v", a.Key, a.Value)
			return true
		})
		h.checks.mu.Lock()
		h.checks.seen = append(h.checks.seen, text)
		h.checks.mu.Unlock()
	}
	if !h.Handler.Enabled(ctx, r.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}
