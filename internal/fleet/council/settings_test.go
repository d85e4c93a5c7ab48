package council

import (
	"testing"

	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/revision"
)

// A seat that is filled by a snapshot has the settings, with the revision before them.
func TestSnapshotHasSettings(t *testing.T) {
	body, err := revision.Pack(revision.Content{Settings: []byte(`{}`)})
	if err != nil {
		t.Fatal(err)
	}
	m, n := newMachine(), newMachine()
	for no := range uint64(2) {
		id := revision.ID{Group: accord.Group{Number: 1, Mark: 7}, No: no + 1}
		if r := m.revise(no, &revision.Command{Op: revision.Set, Base: m.setting.Current.Head().ID, Next: &revision.Revision{ID: id, Body: body}}); !r.OK {
			t.Fatal(r.Text)
		}
	}
	if err := n.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if a, b := n.setting.Current.Head(), m.setting.Current.Head(); a != b || n.setting.Prior.Head() != m.setting.Prior.Head() || b.ID.No != 2 {
		t.Errorf("%v of %v, before it %v", a, b, n.setting.Prior.Head())
	}
}
