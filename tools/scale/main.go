// Command scale makes scale runs and works on them: what nodes cost as the fleet grows (bench/scale), and the page on it
// (docs/CAPACITY.md).
package main

import (
	"github.com/alecthomas/kong"
)

type commands struct {
	Decision decisionCmd `cmd:"" help:"Record what the decision module, the settings and the view cost one by one, by their benchmarks."`
	Fit      fitCmd      `cmd:"" help:"Fit slopes to a run and check them."`
	Plot     plotCmd     `cmd:"" help:"Draw the runs' metrics over size."`
	Page     pageCmd     `cmd:"" help:"Write the tables of the capacity page from the runs, or check them."`
}

func main() {
	c := kong.Parse(&commands{}, kong.Name("scale"), kong.Description("Scale runs: what a fleet costs at size, slopes, pictures and the capacity page."), kong.UsageOnError())
	c.FatalIfErrorf(c.Run())
}
