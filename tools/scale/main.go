// Command scale runs fleets at size on loopback (internal/testing/scale): light nodes, real processes of the program, workers and
// discovery. It records what each cost (bench/scale), fits slopes to that, draws it, and writes the page on it (docs/CAPACITY.md).
// Run it from the top of the repository.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli holds the commands, each in a file of its own.
type cli struct {
	Run      run         `cmd:"" help:"Sweep one thing over sizes, and record what each role costs."`
	Fault    fault       `cmd:"" help:"Play a fault at size, and record what it costs before, while it lasts and after."`
	List     list        `cmd:"" help:"List the sweeps with their sizes, and the faults."`
	Decision decisionCmd `cmd:"" help:"Record what the decision module, the settings and the view cost one by one, by their benchmarks."`
	Fit      fitCmd      `cmd:"" help:"Fit slopes to a run and check them."`
	Plot     plotCmd     `cmd:"" help:"Draw the runs' metrics over size."`
	Page     pageCmd     `cmd:"" help:"Write the tables of the capacity page from the runs, or check them."`
	Child    child       `cmd:"" help:"One process of a run; the tool starts it." hidden:""`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(
		&c,
		kong.Name("scale"),
		kong.Description("Fleets at size, on one machine: what they cost, slopes, pictures and the capacity page."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	k.FatalIfErrorf(k.Run())
}
