package sim

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "play this seed")
	traceFlag = flag.Bool("trace", false, "print the whole trace")
	sameFlag  = flag.Int("same", 0, "play the seed so many times and show where the traces part")
)

func TestOne(t *testing.T) {
	if *seedFlag == 0 {
		t.Skip()
	}
	opt := Options{Keep: 60}
	if *traceFlag {
		opt.Trace, opt.Nodes = os.Stdout, os.Stdout
	}
	var first []byte
	for range *sameFlag {
		var b bytes.Buffer
		Run(t, Draw(*seedFlag), Options{Trace: &b})
		if first == nil {
			first = b.Bytes()
		}
		x, y := bytes.Split(first, []byte("\n")), bytes.Split(b.Bytes(), []byte("\n"))
		for i := range min(len(x), len(y)) {
			if !bytes.Equal(x[i], y[i]) {
				for k := max(0, i-12); k < i; k++ {
					fmt.Printf("   %s\n", x[k])
				}
				for k := i; k < min(i+3, len(x), len(y)); k++ {
					fmt.Printf("A  %s\nB  %s\n", x[k], y[k])
				}
				t.Fatal("the traces part")
			}
		}
	}
	out := Run(t, Draw(*seedFlag), opt)
	fmt.Println(out)
	if out.Fault != "" {
		for _, l := range out.Last {
			fmt.Println(l)
		}
		t.Error(out)
	}
}

func TestSeeds(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		if out := Run(t, Draw(seed), Options{Keep: 20}); out.Fault != "" {
			t.Errorf("seed %d: %v", seed, out)
		}
	}
}

func TestScan(t *testing.T) {
	for w := range 4 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			for i := 1 + w; i <= 1600; i += 4 {
				out := Run(t, Draw(uint64(i)), Options{Keep: 20})
				if again := Run(t, Draw(uint64(i)), Options{Keep: 20}); again.Hash != out.Hash {
					t.Errorf("seed %d: %x %x", i, out.Hash, again.Hash)
				}
				if out.Fault != "" {
					fmt.Println(i, out)
				}
			}
		})
	}
}
