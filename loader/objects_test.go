package loader

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

const twoObjects = `[
	{"kind": "pool", "name": "engine", "body": {"kind": "engine", /* slots */ "slotsPerEndpoint": 8,}},
	{
		"kind": "contract",
		"name": "kilima",
		"baseVersion": 3,
		"body": {"limits": [{"rate": "x"}]}
	},
]`

func TestParseObjects(t *testing.T) {
	objects, err := ParseObjects([]byte(twoObjects))
	require.NoError(t, err)
	require.Len(t, objects, 2)
	require.JSONEq(t, `{"kind": "engine", "slotsPerEndpoint": 8}`, string(objects[0].Body))
	require.False(t, objects[0].HasBaseVersion)
	require.Equal(t, int64(3), objects[1].BaseVersion)
	require.Equal(t, "7:32: [1].body.limits[0].rate: must be a number", objects[1].Fault("limits[0].rate", "must be a number").String())
	require.Equal(t, "7:23: [1].body.limits[0].burst: is missing", objects[1].Fault("limits[0].burst", "is missing").String())
	require.Equal(t, "7:11: [1].body: is wrong", objects[1].Fault("", "is wrong").String())
	require.True(t, IsObjectFile([]byte(twoObjects)))
	require.False(t, IsObjectFile([]byte(requiredSettings)))
}

func TestParseObjectsReportsAllFaults(t *testing.T) {
	_, err := ParseObjects([]byte(`[
		{"kind": "pool", "name": "a b", "body": {"x": 1, "x": 2}},
		{"kind": "pool", "nam": "engine"},
		7,
	]`))
	var faults *FaultsError
	require.ErrorAs(t, err, &faults)
	require.Equal(t, `2:28: [0].name: want 1 to 64 letters, digits, dots, dashes or underscores, beginning with a letter or digit
2:52: [0].body.x: field given twice
3:3: [1].name: missing
3:3: [1].body: missing
3:20: [1].nam: unknown field
4:3: [2]: want an object in braces, got a number of another kind`, err.Error())
}

func FuzzParseObjects(f *testing.F) {
	f.Add([]byte(twoObjects))
	f.Add([]byte(`{"kind": "pool", "name": "x", "baseVersion": -1, "body": null}`))
	f.Add([]byte(`[{"kind": "pool", "body": {"a": {"a": {}}}, "body": 1}, []]`))
	f.Fuzz(func(t *testing.T, src []byte) {
		objects, err := ParseObjects(src)
		if err != nil {
			var faults *FaultsError
			require.ErrorAs(t, err, &faults)
			require.NotEmpty(t, faults.Faults)
			return
		}
		for _, o := range objects {
			require.True(t, json.Valid(o.Body))
			require.Positive(t, o.Fault("a.b[3].c", "x").Line)
		}
	})
}
