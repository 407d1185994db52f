package registrar

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/locator"
)

// storeModel models a store that may be restored from an older copy, and the endpoints that register there.
type storeModel struct {
	era     int64
	records []Change
	copied  []Change
	// written counts each endpoint's records. draining and left are its actual current state.
	written  map[string]int64
	draining map[string]bool
	left     map[string]bool
}

func newStoreModel() *storeModel {
	return &storeModel{written: make(map[string]int64), draining: make(map[string]bool), left: make(map[string]bool)}
}

func (s *storeModel) end() locator.Position { return locator.At(s.era, int64(len(s.records))) }

// write makes an endpoint write its registration, or the store remove it.
func (s *storeModel) write(id string, removed bool) {
	c := Change{ID: id}
	if !removed {
		s.written[id]++
		c = put(id, 0, func(e *Endpoint) { e.Draining = s.draining[id] })
		c.Sequence = s.written[id]
	}
	s.records = append(s.records, c)
}

func (s *storeModel) at(i int) Change {
	c := s.records[i]
	c.Position = locator.At(s.era, int64(i))
	return c
}

// newest returns the newest record of each endpoint that wasn't removed.
func (s *storeModel) newest() []Change {
	last := make(map[string]Change)
	for i := range s.records {
		c := s.at(i)
		if c.Endpoint == nil {
			delete(last, c.ID)
			continue
		}
		last[c.ID] = c
	}
	return slices.SortedFunc(maps.Values(last), func(a, b Change) int { return a.Position.Compare(b.Position) })
}

// read makes a registry read the new records, or the complete list in a new era.
func (s *storeModel) read(r *Registry, now time.Time) {
	r.StoreAvailable(now)
	next := r.Next()
	if !r.Loaded() || next.Era() != s.era || next.Offset() > int64(len(s.records)) {
		r.Replace(s.newest(), s.end(), now)
		return
	}
	var changes []Change
	for i := int(next.Offset()); i < len(s.records); i++ {
		changes = append(changes, s.at(i))
	}
	r.Apply(changes, s.end(), now)
}

func (s *storeModel) serving() []string {
	list := []string{}
	for id := range s.written {
		if !s.draining[id] && !s.left[id] {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Endpoints register, drain and leave while the store is repeatedly restored from older copies. An endpoint that was
// seen to leave must not receive work again, one that was seen serving must not be removed before it had time to
// register again, and once all have registered again the list must be correct.
func TestRegistrySurvivesOlderCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, r, now := newStoreModel(), New(Config{}), start
		for i := range 4 {
			s.write(fmt.Sprint("e", i), false)
		}
		s.copied = slices.Clone(s.records)
		s.read(r, now)
		seenUsable, seenUnusable := make(map[string]bool), make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"e0", "e1", "e2", "e3"}).Draw(t, "endpoint")
			switch step := rapid.SampledFrom([]string{"write", "drain", "leave", "copy", "return", "read", "read"}).Draw(t, "step"); {
			case step == "copy":
				s.copied = slices.Clone(s.records)
			case step == "return":
				s.records = slices.Clone(s.copied)
				s.era++
			case step == "read":
				s.read(r, now)
				for _, id := range ids(r) {
					seenUsable[id] = true
				}
				for id := range s.written {
					seenUnusable[id] = seenUnusable[id] || !slices.Contains(ids(r), id)
				}
			case s.left[id]:
			case step == "write":
				s.write(id, false)
			case step == "drain":
				s.draining[id] = true
				s.write(id, false)
			case step == "leave":
				s.left[id] = true
				s.write(id, true)
			}
			now = now.Add(10 * time.Millisecond)
			r.Tick(now)
			for _, id := range ids(r) {
				require.False(t, seenUnusable[id], "%s is usable again after leaving", id)
			}
			for _, id := range s.serving() {
				require.True(t, !seenUsable[id] || slices.Contains(ids(r), id), "%s is serving but was removed", id)
			}
		}
		for id := range s.written {
			s.write(id, s.left[id])
		}
		s.read(r, now)
		now = now.Add(DefaultRecoveryGrace)
		r.Tick(now)
		require.Equal(t, s.serving(), ids(r))
	})
}

// Guards against assigning an address back to its former endpoint, which has ended, because of an older copy of the
// store.
func TestAddressStaysWithNewestEndpointDespiteOlderCopy(t *testing.T) {
	same := func(e *Endpoint) { e.Address = "shared" }
	r := New(Config{})
	r.Replace([]Change{put("old", 0, same)}, pos(1), start)
	r.Apply([]Change{put("new", 1, same)}, pos(2), start)
	copied := put("old", 0, same)
	copied.Position = locator.At(1, 0)
	r.Replace([]Change{copied}, locator.At(1, 1), start)
	require.Equal(t, []string{"new"}, ids(r))
}
