package handover

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// descriptorCounts maps each kind of message to the number of descriptors in the header of its fixture.
var descriptorCounts = map[Kind]int{
	KindHello: 0, KindWelcome: 1, KindRefused: 0, KindTakeOver: 0, KindState: 0, KindConnection: 1, KindRequest: 2,
}

// fieldFiller sets every encoded field to a distinct non-zero value. Values depend on the order of fields and not on their names,
// so that a renamed field keeps its value.
type fieldFiller struct{ next int64 }

func (f *fieldFiller) fill(v reflect.Value) {
	f.next++
	switch x := v.Addr().Interface().(type) {
	case *time.Time:
		*x = time.Unix(f.next, f.next).UTC()
		return
	case *balance.WorkerStatus:
		*x = balance.Draining // any other number is not a valid state of an entry
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("json") != "-" {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("127.0.0.1:", f.next)) // an address, which is valid in every string field
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(f.next) + 0.5)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(f.next) % 251)
	case reflect.Int, reflect.Int64:
		v.SetInt(f.next)
	default:
		panic(v.Type().String())
	}
}

// filledMessage returns a message of a kind with every field set.
func filledMessage(k Kind) (m Message) {
	f := fieldFiller{next: int64(1000 * (strings.Index("hello welcome refused take taken client job", string(k)) + 1))}
	f.fill(reflect.ValueOf(&m).Elem())
	m.Kind = k
	// Added since the fixtures were written, see TestUsedIDs and TestUpdate.
	m.UsedIDs, m.Updates, m.Discovery, m.DrainedWorkers, m.Drain, m.Source = nil, false, nil, nil, nil, ""
	m.ConfigFile, m.RejectedFile = nil, ""
	return m
}

// What changes is sent as an update, and is left out of other messages, as older versions do not know it. Addresses that are
// invalid are an error.
func TestUpdate(t *testing.T) {
	moved := config.DiscoveryAddresses{Environment: "127.0.0.1:1", File: "127.0.0.1:2", Reloaded: true, Moved: true, NewerFile: "127.0.0.1:3"}
	sent := Message{Kind: KindUpdate, Discovery: &moved, Updates: true}
	frame, err := encode(sent, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got, _, err := decode(bytes.NewReader(frame)); err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("decoded as %+v, %v, want %+v", got, err, sent)
	}
	if frame, err = encode(Message{Kind: KindWelcome}, 0); err != nil || bytes.Contains(frame, []byte("Discovery")) || bytes.Contains(frame, []byte("Updates")) {
		t.Errorf("encoded as %s, %v", frame, err)
	}
	moved.File = "nowhere"
	if frame, err = encode(sent, 0); err != nil {
		t.Fatal(err)
	}
	if _, _, err := decode(bytes.NewReader(frame)); err == nil || !strings.Contains(err.Error(), "discovery") {
		t.Errorf("an invalid address: error %v", err)
	}
}

// IDs that are used go with the state, and are left out where there are none, as older versions do not know them.
func TestUsedIDs(t *testing.T) {
	sent := Message{Kind: KindState, UsedIDs: []UsedID{{ID: "a", Age: time.Second, Open: true}, {ID: "b"}}}
	frame, err := encode(sent, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got, _, err := decode(bytes.NewReader(frame)); err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("decoded as %+v, %v, want %+v", got, err, sent)
	}
	if frame, err = encode(Message{Kind: KindState}, 0); err != nil || bytes.Contains(frame, []byte("Used")) {
		t.Errorf("encoded as %s, %v", frame, err)
	}
}

// The frames in testdata were written by revision 33b4d57 and guard against an incompatible change of the format: processes of
// that build and of this one must be able to hand over to each other. Each message decodes to the expected fields, and encodes to
// the same bytes.
func TestFrames(t *testing.T) {
	for k, descriptors := range descriptorCounts {
		frame, err := os.ReadFile(filepath.Join("testdata", string(k)+".frame"))
		if err != nil {
			t.Fatal(err)
		}
		m, n, err := decode(bytes.NewReader(frame))
		if err != nil || n != descriptors {
			t.Errorf("%s: %d descriptors, %v", k, n, err)
		}
		if want := filledMessage(k); !reflect.DeepEqual(m, want) {
			t.Errorf("%s: decoded as\n%+v, want\n%+v", k, m, want)
		}
		if got, err := encode(m, n); err != nil || !bytes.Equal(got, frame) {
			t.Errorf("%s: encoded as\n%s, want\n%s (%v)", k, got, frame, err)
		}
	}
}
