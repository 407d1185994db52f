package publisher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/recorder"
)

const testMillis = int64(1_700_000_000_000)

func setChange(id, kind, name string, base int64, body string) Change {
	return Change{OperationID: id, Operator: "sita", Kind: kind, Name: name, BaseVersion: base, Body: []byte(body)}
}

func removeChange(id, kind, name string, base int64) Change {
	return Change{OperationID: id, Operator: "sita", Kind: kind, Name: name, BaseVersion: base, Remove: true}
}

func recordOf(t *testing.T, offset int64, c Change) recorder.Record {
	t.Helper()
	data, err := EncodeChange(c)
	require.NoError(t, err)
	return recorder.Record{Offset: offset, AtMillis: testMillis + offset, Data: data}
}

// baseChanges returns changes that put three pools, a pipeline and a contract in force, as versions 2 to 10.
func baseChanges() []Change {
	return []Change{
		setChange("op1", KindPool, "encoders", 0, `{"kind":"encoder","slotsPerEndpoint":4}`),
		setChange("op2", KindPool, "retrievers", 0, `{"kind":"retriever","slotsPerEndpoint":4}`),
		setChange("op3", KindPool, "engines", 0, validPool),
		setChange("op4", KindPipeline, "digest", 0, validPipeline),
		setChange("op5", KindContract, "kilima", 0, validContract),
	}
}

// applyChanges returns a Fold that has read the changes, and its verdicts. The changes are at offsets 2, 4, 6
// and so on, because offsets have gaps.
func applyChanges(t *testing.T, changes ...Change) (*Fold, []Verdict) {
	t.Helper()
	f := New(Config{Entry: "a"})
	require.False(t, f.BeginPage(0))
	var verdicts []Verdict
	for i, c := range changes {
		r := recordOf(t, int64(2*(i+1)), c)
		verdicts = append(verdicts, f.Apply(r)...)
		require.Empty(t, f.Apply(r), "a record read twice must have no effect")
	}
	return f, verdicts
}

func TestVerdicts(t *testing.T) {
	wider := strings.Replace(validPool, "8", "16", 1)
	scenarios := []struct {
		testName string
		changes  []Change
		want     string
		version  int64
		// body is a part of the object's body in force afterwards; empty if no object is in force.
		kind, name, body string
	}{
		{
			"a new object", baseChanges(),
			"accepted op5: version 10", 10, KindContract, "kilima", "ratePerSecond",
		},
		{
			// Two operators change one pool from the same version at the same moment, at two entries. The log's
			// order decides; the verdict on the second change reports the version in force.
			"the second of two racing operators",
			append(baseChanges(), setChange("x", KindPool, "engines", 6, wider), setChange("y", KindPool, "engines", 6, validPool)),
			"conflict y: version 12: based on version 6, but version 12 is in force", 12, KindPool, "engines", "16",
		},
		{
			// A reply is lost, so the operator's tool sends the change again with the same operation ID. It
			// gets the first verdict; checked again, the change would be a conflict although it is in force.
			"an operation sent twice",
			append(baseChanges(), setChange("x", KindPool, "engines", 6, wider), setChange("x", KindPool, "engines", 6, wider)),
			"accepted x: version 12", 12, KindPool, "engines", "16",
		},
		{
			// One operator removes a pool while another adds a pipeline that uses it. Each change was checked
			// against the configuration in force when it was sent; the second one in the log would have a
			// dangling reference.
			"a reference to a removed object",
			append(baseChanges()[:3], removeChange("x", KindPool, "encoders", 2), setChange("y", KindPipeline, "digest", 0, validPipeline)),
			`invalid y: version 0: stages[0].pool: there is no pool "encoders"`, 0, KindPipeline, "digest", "",
		},
		{
			"removal of a referenced object", append(baseChanges(), removeChange("x", KindPool, "encoders", 2)),
			`invalid x: version 2: is used by pipeline "digest"`, 2, KindPool, "encoders", "encoder",
		},
		{
			"removal", append(baseChanges(), removeChange("x", KindContract, "kilima", 10)),
			"accepted x: version 0", 0, KindContract, "kilima", "",
		},
		{
			// Publishing a removed object again must not count as a change of the old one.
			"an old version after removal",
			append(baseChanges(), removeChange("x", KindContract, "kilima", 10), setChange("y", KindContract, "kilima", 10, validContract)),
			"conflict y: version 0: based on version 10, but version 0 is in force", 0, KindContract, "kilima", "",
		},
		{
			"removal of a missing object", append(baseChanges(), removeChange("x", KindContract, "wallcare", 0)),
			`invalid x: version 0: there is no contract "wallcare"`, 0, KindContract, "wallcare", "",
		},
		{
			// A record that was written by another program or by a faulty entry violates the rules of its kind.
			"a malformed object in the log", append(baseChanges(), setChange("x", KindPool, "engines", 6, `{"kind":"engine"}`)),
			"invalid x: version 6: slotsPerEndpoint: is missing", 6, KindPool, "engines", "engine",
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f, verdicts := applyChanges(t, s.changes...)
			last := verdicts[len(verdicts)-1]
			got := fmt.Sprintf("%s %s: version %d", last.State, last.OperationID, last.Version)
			if last.Message != "" {
				got += ": " + last.Message
			}
			require.Equal(t, s.want, got)
			known, ok := f.Verdict(last.OperationID)
			require.True(t, ok, "a lost reply is found by operation id")
			require.Equal(t, last, known)
			objects := f.Objects(s.kind, s.name)
			if s.body == "" {
				require.Empty(t, objects)
				return
			}
			require.Equal(t, s.version, objects[0].Version)
			require.Contains(t, string(objects[0].Body), s.body)
		})
	}
}

// An operator's change is checked against the configuration in force before it is appended. All of its faults
// are reported at once.
func TestCheckChange(t *testing.T) {
	f, _ := applyChanges(t, baseChanges()...)
	require.Empty(t, f.CheckChange(setChange("x", KindContract, "wallcare", 0, validContract)))
	require.Empty(t, f.CheckChange(setChange("x", KindPipeline, "alert", 0, strings.ReplaceAll(validPipeline, "er\"", "ers\""))))
	bad := strings.NewReplacer("encoders", "coders", "retrievers", "fetchers", "900", "0").Replace(validPipeline)
	require.Len(t, f.CheckChange(setChange("x", KindPipeline, "alert", 0, bad)), 3)
	require.Len(t, f.CheckChange(removeChange("x", KindPipeline, "digest", 8)), 1)
}

// A change that every reader would skip must be rejected before it is appended: its operator would otherwise
// wait for a verdict that never comes.
func TestEncodeChangeRejectsUnreadableChanges(t *testing.T) {
	good := baseChanges()[0]
	long := strings.Repeat("x", 300_000)
	for name, c := range map[string]func(*Change){
		"no operation id": func(c *Change) { c.OperationID = "" },
		"long operator":   func(c *Change) { c.Operator = long },
		"huge body":       func(c *Change) { c.Body = []byte(long) },
	} {
		t.Run(name, func(t *testing.T) {
			change := good
			c(&change)
			var encodeErr *EncodeError
			_, err := EncodeChange(change)
			require.ErrorAs(t, err, &encodeErr)
		})
	}
}

// A malformed record is read by every entry. If it stopped one entry, it would stop all of them for good.
func TestBadRecordIsSkipped(t *testing.T) {
	f, _ := applyChanges(t, baseChanges()...)
	require.Empty(t, f.Apply(recorder.Record{Offset: 20, AtMillis: testMillis, Data: []byte{0xc1, 0x00}}))
	require.Equal(t, 1, f.BadRecords())
	require.Equal(t, int64(20), f.Offset())
	verdicts := f.Apply(recordOf(t, 21, setChange("x", KindContract, "wallcare", 0, validContract)))
	require.Equal(t, Accepted, verdicts[0].State)
	_, ok := f.Contract("wallcare")
	require.True(t, ok)
}

// With more operations than are stored, an entry that read all of them and one that started from a snapshot
// must have dropped the same ones. Otherwise a repeated operation ID would get two verdicts.
func TestReadersDropTheSameOperations(t *testing.T) {
	old, _ := applyChanges(t, baseChanges()...)
	var offset int64 = 10
	version := int64(6)
	next := func() recorder.Record {
		offset++
		r := recordOf(t, offset, setChange(fmt.Sprint("more", offset), KindPool, "engines", version, validPool))
		version = offset
		return r
	}
	late := New(Config{Entry: "c"})
	require.True(t, late.BeginPage(11))
	for range historyLimit + 50 {
		r := next()
		old.Apply(r)
		late.Apply(r)
	}
	parts, err := old.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	require.True(t, late.Restore(parts, time.UnixMilli(testMillis)))
	require.Equal(t, fingerprint(old), fingerprint(late), "held changes that the snapshot contains are not applied again")
	fresh := New(Config{Entry: "b"})
	require.True(t, fresh.Restore(parts, time.UnixMilli(testMillis)))
	for range 100 {
		r := next()
		old.Apply(r)
		fresh.Apply(r)
	}
	require.Equal(t, fingerprint(old), fingerprint(fresh))
	_, ok := fresh.Verdict("op1")
	require.False(t, ok)
	require.Len(t, fresh.History(historyLimit+1), historyLimit)
}
