package publisher

import (
	"cmp"
	"slices"

	"geraniumline/recorder"
)

// ObjectFault is a fault in one object of a list.
type ObjectFault struct {
	// Index is the object's index in the list that was checked.
	Index int
	Fault Fault
}

// kindOrder is the order in which objects are first published: objects come after those that they refer to.
var kindOrder = map[string]int{KindPool: 0, KindPipeline: 1, KindContract: 2, KindPlacement: 3}

// CheckConfiguration checks objects that form a complete configuration, including the references between them.
func CheckConfiguration(objects []Object) []ObjectFault {
	order := make([]int, len(objects))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(kindOrder[objects[a].Kind], kindOrder[objects[b].Kind])
	})
	fold := New(Config{})
	var faults []ObjectFault
	for n, i := range order {
		change := Change{OperationID: objects[i].Kind + "/" + objects[i].Name, Kind: objects[i].Kind, Name: objects[i].Name, Body: objects[i].Body}
		found := fold.CheckChange(change)
		for _, fault := range found {
			faults = append(faults, ObjectFault{Index: i, Fault: fault})
		}
		data, err := EncodeChange(change)
		if len(found) > 0 || err != nil {
			continue
		}
		fold.Apply(recorder.Record{Offset: int64(n + 1), Data: data})
	}
	return faults
}
