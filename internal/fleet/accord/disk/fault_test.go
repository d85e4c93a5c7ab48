package disk

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftdeal/internal/fleet/accord"
)

// TestMain lets the test's own program be a process that saves, under a tracer that has its system calls fail.
func TestMain(m *testing.M) {
	if dir := os.Getenv("SWIFTDEAL_TEST_SAVES"); dir != "" {
		saves(dir)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// steps is what is saved one after the other: two groups, with votes, entries that replace others, and snapshots.
func steps() (list []*accord.Saved) {
	for g := range uint64(2) {
		group, id := accord.Group{Number: g + 1, Mark: 7}, 42+g
		for _, n := range []*accord.Saved{
			{Snapshot: snapshot(1)},
			{Hard: &raftpb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(3)}, Entries: []*raftpb.Entry{entry(2, 2), entry(3, 2), entry(4, 2)}},
			{Entries: []*raftpb.Entry{entry(3, 3), entry(4, 3), entry(5, 3)}},
			{Snapshot: snapshot(3)},
			{Entries: []*raftpb.Entry{entry(6, 3)}},
		} {
			if g == 1 && n.Hard != nil {
				n.Hard = nil // the second group has given no vote: that of the first must not come back
			}
			n.Group, n.ID, n.Voters = group, id, []accord.Voter{{Seat: "n1", ID: id}}
			list = append(list, n)
		}
	}
	return list
}

// after is what is kept once so many steps were saved.
func after(n int) *accord.Saved {
	kept := &accord.Saved{}
	for _, s := range steps()[:n] {
		if s.Group != kept.Group {
			kept = &accord.Saved{}
		}
		kept = kept.With(s)
	}
	return kept
}

// saves saves the steps, each again until it is on the disk, and says so of each.
func saves(dir string) {
	s, _, err := Open(dir, "n1", time.Second)
	for tries := 0; err != nil && tries < 100; tries++ {
		s, _, err = Open(dir, "n1", time.Second)
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for i, n := range steps() {
		for tries := 0; s.Save(n) != nil; tries++ {
			if tries == 100 {
				os.Exit(1)
			}
		}
		fmt.Println(i + 1)
	}
	s.Close()
}

// words is all that is kept, to be compared.
func words(t *testing.T, s *accord.Saved) string {
	t.Helper()
	if s == nil {
		return "nothing"
	}
	var entries, rest []string
	for _, e := range s.Entries {
		entries = append(entries, fmt.Sprint(e.GetIndex(), e.GetTerm(), e.GetData()))
	}
	rest = append(rest, fmt.Sprint(s.Hard.GetTerm(), s.Hard.GetVote()), fmt.Sprint(s.Snapshot.GetMetadata().GetIndex()))
	text, err := json.Marshal([]any{s.Group, s.ID, s.Voters, entries, rest})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// What the disk refuses for a while is on it once a later try succeeds, and nothing of an earlier group comes back with it.
func TestDiskFailsForAWhile(t *testing.T) {
	for _, call := range []string{"pwrite64", "fdatasync"} {
		for _, failure := range []string{"ENOSPC", "EIO"} {
			for first := 1; first < 60; first += 2 {
				dir := t.TempDir()
				rule := fmt.Sprintf("%s:error=%s:when=%d..%d", call, failure, first, first+first%5)
				out, err := child(dir, call, rule)
				if err != nil {
					t.Fatalf("%s: %v\n%s", rule, err, out)
				}
				compare(t, rule, dir, len(steps()), len(steps()))
			}
		}
	}
}

// A process that is killed in the middle of a write has all that it had told as saved, and at most the step under way besides.
func TestKilledInAWrite(t *testing.T) {
	for _, call := range []string{"pwrite64", "fdatasync"} {
		for at := 1; at < 60; at += 3 {
			dir := t.TempDir()
			rule := fmt.Sprintf("%s:signal=KILL:when=%d", call, at)
			out, _ := child(dir, call, rule)
			told := bytes.Count(out, []byte("\n"))
			compare(t, rule, dir, told, min(told+1, len(steps())))
		}
	}
}

// child runs the process that saves, with a system call that is struck by a rule.
func child(dir, call, rule string) ([]byte, error) {
	c := exec.Command("strace", "-f", "-qq", "-o", os.DevNull, "-e", "trace="+call, "-e", "inject="+rule, os.Args[0])
	c.Env = append(os.Environ(), "SWIFTDEAL_TEST_SAVES="+dir)
	return c.Output()
}

// compare fails unless the file holds what it does after so many steps.
func compare(t *testing.T, rule, dir string, least, most int) {
	t.Helper()
	s, got, err := Open(dir, "n1", time.Second)
	if err != nil {
		t.Errorf("%s: %v", rule, err)
		return
	}
	s.Close()
	for n := least; n <= most; n++ {
		want := after(n)
		if n == 0 {
			want = nil
		}
		if reflect.DeepEqual(words(t, got), words(t, want)) {
			return
		}
	}
	t.Errorf("%s: after %d to %d steps it holds %s, want %s", rule, least, most, words(t, got), words(t, after(most)))
}
