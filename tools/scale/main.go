// Command scale runs fleets at size on loopback (internal/scale): hollow nodes, real processes of the program, workers and
// discovery; and records what each cost. Run it from the top of the repository.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli holds the commands, each in a file of its own.
type cli struct {
	Run   run   `cmd:"" help:"Sweep one thing over sizes, and record what each role costs."`
	Fault fault `cmd:"" help:"Play a fault at size, and record what it costs before, while it lasts and after."`
	List  list  `cmd:"" help:"List the sweeps with their sizes, and the faults."`
	Child child `cmd:"" hidden:"" help:"One process of a run; the tool starts it."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("scale"), kong.Description("Fleets at size, on one machine."), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
