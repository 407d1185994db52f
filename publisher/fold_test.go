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

func set(id, kind, name string, base int64, body string) Change {
	return Change{OperationID: id, Operator: "sita", Kind: kind, Name: name, BaseVersion: base, Body: []byte(body)}
}

func remove(id, kind, name string, base int64) Change {
	return Change{OperationID: id, Operator: "sita", Kind: kind, Name: name, BaseVersion: base, Remove: true}
}

func recordOf(t *testing.T, offset int64, c Change) recorder.Record {
	t.Helper()
	data, err := EncodeChange(c)
	require.NoError(t, err)
	return recorder.Record{Offset: offset, AtMillis: testMillis + offset, Data: data}
}

// base is a stream whose first records put three pools, a pipeline and a contract in force, as versions 2 to 10.
func base() []Change {
	return []Change{
		set("op1", KindPool, "encoders", 0, `{"kind":"encoder","slotsPerEndpoint":4}`),
		set("op2", KindPool, "retrievers", 0, `{"kind":"retriever","slotsPerEndpoint":4}`),
		set("op3", KindPool, "engines", 0, goodPool),
		set("op4", KindPipeline, "digest", 0, goodPipeline),
		set("op5", KindContract, "kilima", 0, goodContract),
	}
}

// folded gives a fold that has read the changes, at offsets 2, 4, 6 and so on: offsets have holes.
func folded(t *testing.T, changes ...Change) (*Fold, []Verdict) {
	t.Helper()
	f := New(Config{Entry: "a"})
	require.False(t, f.BeginPage(0))
	var verdicts []Verdict
	for i, c := range changes {
		r := recordOf(t, int64(2*(i+1)), c)
		verdicts = append(verdicts, f.Apply(r)...)
		require.Empty(t, f.Apply(r), "a record read twice settles nothing")
	}
	return f, verdicts
}

func TestVerdicts(t *testing.T) {
	wider := strings.Replace(goodPool, "8", "16", 1)
	scenarios := []struct {
		testName string
		changes  []Change
		want     string
		version  int64
		// body is part of the object's body in force after it; empty for none in force.
		kind, name, body string
	}{
		{
			"a new object", base(),
			"accepted op5: version 10", 10, KindContract, "kilima", "ratePerSecond",
		},
		{
			// Two operators change one pool from the same version at the same moment, at two entries.
			// The log's order decides; the second is told which version it did not know.
			"the second of two racing operators",
			append(base(), set("x", KindPool, "engines", 6, wider), set("y", KindPool, "engines", 6, goodPool)),
			"conflict y: version 12: based on version 6, but version 12 is in force", 12, KindPool, "engines", "16",
		},
		{
			// A reply is lost, so the operator's tool sends the change again with the same operation id.
			// It gets the first verdict; judged anew it would be a conflict, though the change is in force.
			"an operation sent twice",
			append(base(), set("x", KindPool, "engines", 6, wider), set("x", KindPool, "engines", 6, wider)),
			"accepted x: version 12", 12, KindPool, "engines", "16",
		},
		{
			// One operator removes a pool while another adds a pipeline that uses it. Each was checked against
			// what was in force when it was sent; the second in the log would refer to nothing.
			"a reference that went away before",
			append(base()[:3], remove("x", KindPool, "encoders", 2), set("y", KindPipeline, "digest", 0, goodPipeline)),
			`invalid y: version 0: stages[0].pool: there is no pool "encoders"`, 0, KindPipeline, "digest", "",
		},
		{
			"removal of what is referenced", append(base(), remove("x", KindPool, "encoders", 2)),
			`invalid x: version 2: is used by pipeline "digest"`, 2, KindPool, "encoders", "encoder",
		},
		{
			"removal", append(base(), remove("x", KindContract, "kilima", 10)),
			"accepted x: version 0", 0, KindContract, "kilima", "",
		},
		{
			// A removed object that is published again must not be taken for a change of the old one.
			"an old version after removal",
			append(base(), remove("x", KindContract, "kilima", 10), set("y", KindContract, "kilima", 10, goodContract)),
			"conflict y: version 0: based on version 10, but version 0 is in force", 0, KindContract, "kilima", "",
		},
		{
			"removal of nothing", append(base(), remove("x", KindContract, "wallcare", 0)),
			`invalid x: version 0: there is no contract "wallcare"`, 0, KindContract, "wallcare", "",
		},
		{
			// A record that another program wrote, or an entry with an error, breaks the rules of its kind.
			"a malformed object in the log", append(base(), set("x", KindPool, "engines", 6, `{"kind":"engine"}`)),
			"invalid x: version 6: slotsPerEndpoint: is missing", 6, KindPool, "engines", "engine",
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f, verdicts := folded(t, s.changes...)
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

// An operator's change is checked against what is in force before it is appended, with all its faults at once.
func TestCheckChange(t *testing.T) {
	f, _ := folded(t, base()...)
	require.Empty(t, f.CheckChange(set("x", KindContract, "wallcare", 0, goodContract)))
	require.Empty(t, f.CheckChange(set("x", KindPipeline, "alert", 0, strings.ReplaceAll(goodPipeline, "er\"", "ers\""))))
	bad := strings.NewReplacer("encoders", "coders", "retrievers", "fetchers", "900", "0").Replace(goodPipeline)
	require.Len(t, f.CheckChange(set("x", KindPipeline, "alert", 0, bad)), 3)
	require.Len(t, f.CheckChange(remove("x", KindPipeline, "digest", 8)), 1)
}

// A change that every reader would pass over must be refused before it is appended: its operator would otherwise
// wait for a verdict that never comes.
func TestEncodeChangeRefusesWhatNobodyCouldRead(t *testing.T) {
	good := base()[0]
	long := strings.Repeat("x", 300_000)
	for name, c := range map[string]func(*Change){
		"no operation id": func(c *Change) { c.OperationID = "" },
		"long operator":   func(c *Change) { c.Operator = long },
		"huge body":       func(c *Change) { c.Body = []byte(long) },
	} {
		t.Run(name, func(t *testing.T) {
			change := good
			c(&change)
			var encode *EncodeError
			_, err := EncodeChange(change)
			require.ErrorAs(t, err, &encode)
		})
	}
}

// A bad record lies in the log for all to read. If it stopped one entry it would stop all, for good.
func TestABadRecordStopsNobody(t *testing.T) {
	f, _ := folded(t, base()...)
	require.Empty(t, f.Apply(recorder.Record{Offset: 20, AtMillis: testMillis, Data: []byte{0xc1, 0x00}}))
	require.Equal(t, 1, f.BadRecords())
	require.Equal(t, int64(20), f.Offset())
	verdicts := f.Apply(recordOf(t, 21, set("x", KindContract, "wallcare", 0, goodContract)))
	require.Equal(t, Accepted, verdicts[0].State)
	_, ok := f.Contract("wallcare")
	require.True(t, ok)
}

// More operations than are remembered: an entry that read them all and one that began at a snapshot must have
// forgotten the same ones, or a doubled operation id would get two verdicts.
func TestReadersForgetTheSameOperations(t *testing.T) {
	old, _ := folded(t, base()...)
	var offset int64 = 10
	version := int64(6)
	next := func() recorder.Record {
		offset++
		r := recordOf(t, offset, set(fmt.Sprint("more", offset), KindPool, "engines", version, goodPool))
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
	require.Equal(t, fingerprint(old), fingerprint(late), "held changes that the snapshot holds are not judged again")
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
