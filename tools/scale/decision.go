package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"time"

	"swiftdeal/internal/testing/scale/decision"
)

type decisionCmd struct {
	Only      string        `placeholder:"RUN" help:"Only this run, such as decision-workers."`
	Benchtime time.Duration `                  help:"Time for each benchmark."                 default:"100ms"`
	Count     int           `                  help:"How often each benchmark is run."         default:"3"`
	Out       string        `                  help:"Folder of the runs."                      default:"bench/scale"`
}

// Run runs the command.
func (c decisionCmd) Run() error {
	commit, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return fmt.Errorf("commit of the tree: %w", err)
	}
	changed, err := exec.Command("git", "status", "--porcelain", "--", ".", ":!"+c.Out).Output()
	if err != nil {
		return fmt.Errorf("changes of the tree: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return decision.Record(ctx, decision.Options{
		Only: c.Only, Benchtime: c.Benchtime, Count: c.Count, Commit: strings.TrimSpace(string(commit)),
		Dirty: len(changed) > 0, Out: c.Out, Print: os.Stderr,
	})
}
