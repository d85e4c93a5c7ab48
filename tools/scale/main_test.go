package main

import (
	"context"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// What cannot be right in a command is named, and nothing is started for it.
func TestBad(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"run members --members x", "--members"},
		{"run members --period-ms 1", "period-ms: 1 "},
		{"run members --sizes 3", "sizes: 3: members: 3 "},
		{"run members --sizes 64,9999", "sizes: 9999: members: 9999 "},
		{"run nothing", `sweep: "nothing"`},
		{"run members --seats 4", "seats: 4"},
		{"run members --nope", "--nope"},
		{"fault flood", `fault: "flood"`},
		{"fault region --regions 1", "regions: 1"},
		{"fault day --fault-s=-1", "fault-s: -1"},
	} {
		var cmd cli
		k, err := kong.New(&cmd, kong.BindTo(context.Background(), (*context.Context)(nil)))
		if err != nil {
			t.Fatal(err)
		}
		ctx, err := k.Parse(strings.Fields(c.args))
		if err == nil {
			cmd.Run.Real, cmd.Fault.Real = 0, 0 // nothing has to be built to see that it is wrong
			cmd.Run.Rate, cmd.Fault.Rate = 0, 0
			cmd.Run.Out, cmd.Fault.Out = t.TempDir(), os.DevNull
			err = ctx.Run()
		}
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, and %q is not in it", c.args, err, c.want)
		}
	}
}
