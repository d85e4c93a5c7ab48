// Command scale measures what a fleet costs at size.
package main

import "github.com/alecthomas/kong"

type commands struct {
	Decision decisionCmd `cmd:"" help:"Record what the decision module, the settings and the view cost one by one, by their benchmarks."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("scale"))
	k.FatalIfErrorf(k.Run())
}
