package publisher

import (
	"fmt"
	"slices"
	"strings"
)

// objectID identifies one object.
type objectID struct {
	kind, name string
}

// objectEntry is an object as published and in its typed form.
type objectEntry struct {
	object Object
	parsed parsedObject
}

// state is the configuration after some offset, with the stored verdicts.
type state struct {
	objects map[objectID]*objectEntry
	history history
	// lists caches the objects of each kind, sorted by name. A change of a kind removes its list.
	lists map[string]*objectList
}

// objectList is the objects of one kind, sorted by name, also in their typed form.
type objectList struct {
	entries    []*objectEntry
	pools      []*Pool
	pipelines  []*Pipeline
	contracts  []*Contract
	placements []*Placement
}

func newState() *state {
	return &state{
		objects: make(map[objectID]*objectEntry),
		history: newHistory(),
		lists:   make(map[string]*objectList),
	}
}

// set puts an object in force, or removes it if the entry is nil.
func (s *state) set(id objectID, e *objectEntry) {
	delete(s.lists, id.kind)
	if e == nil {
		delete(s.objects, id)
		return
	}
	s.objects[id] = e
}

func (s *state) version(id objectID) int64 {
	if e, ok := s.objects[id]; ok {
		return e.object.Version
	}
	return 0
}

// apply applies one change and returns its verdict. For a known operation ID it returns the first verdict
// again.
func (s *state) apply(offset, atMillis int64, c *Change) Verdict {
	if first, ok := s.history.find(c.OperationID); ok {
		return first
	}
	v := s.decide(offset, c)
	v.AtMillis = atMillis
	s.history.add(v)
	return v
}

func (s *state) decide(offset int64, c *Change) Verdict {
	id := objectID{kind: c.Kind, name: c.Name}
	current := s.version(id)
	v := Verdict{OperationID: c.OperationID, Operator: c.Operator, Kind: c.Kind, Name: c.Name, Version: current}
	if c.BaseVersion != current {
		v.State = Conflict
		v.Message = fmt.Sprintf("based on version %d, but version %d is in force", c.BaseVersion, current)
		return v
	}
	p, faults := s.check(c)
	if len(faults) > 0 {
		v.State = Invalid
		v.Message = truncateMessage(faults[0].String())
		return v
	}
	v.State = Accepted
	if c.Remove {
		s.set(id, nil)
		v.Version = 0
		return v
	}
	object := Object{Kind: c.Kind, Name: c.Name, Version: offset, Body: c.Body}
	s.set(id, &objectEntry{object: object, parsed: p})
	v.Version = offset
	return v
}

// clip cuts a message to the limit of the record's schema.
func truncateMessage(message string) string {
	if len(message) > maxMessageBytes {
		return strings.ToValidUTF8(message[:maxMessageBytes], "")
	}
	return message
}

// check returns the change's typed object and every fault, including those in references.
func (s *state) check(c *Change) (parsedObject, []Fault) {
	if c.Remove {
		return parsedObject{}, s.checkRemoval(c)
	}
	p, faults := parse(c.Kind, c.Name, c.Body)
	if p.pipeline != nil {
		faults = append(faults, s.missingPools(p.pipeline)...)
	}
	if p.contract != nil {
		faults = append(faults, s.missingPipelines(p.contract)...)
	}
	if p.placement != nil {
		faults = append(faults, s.checkEnginePool(p.placement.Pool)...)
	}
	return p, faults
}

func (s *state) missingPools(p *Pipeline) []Fault {
	var faults []Fault
	for i, stage := range p.Stages {
		faults = append(faults, s.missingPool(fmt.Sprintf("stages[%d].pool", i), stage.Pool)...)
	}
	return faults
}

// checkEnginePool rejects a placement for a pool whose endpoints hold no model.
func (s *state) checkEnginePool(pool string) []Fault {
	e, known := s.objects[objectID{kind: KindPool, name: pool}]
	if known && e.parsed.pool.Kind != PoolEngine {
		return []Fault{{Path: "pool", Message: fmt.Sprintf("is a pool of kind %q, whose endpoints hold no model", e.parsed.pool.Kind)}}
	}
	return s.missingPool("pool", pool)
}

func (s *state) missingPool(path, name string) []Fault {
	if s.version(objectID{kind: KindPool, name: name}) != 0 {
		return nil
	}
	return []Fault{{Path: path, Message: fmt.Sprintf("there is no pool %q", name)}}
}

func (s *state) missingPipelines(c *Contract) []Fault {
	var faults []Fault
	for i, name := range c.Pipelines {
		if s.version(objectID{kind: KindPipeline, name: name}) == 0 {
			path := fmt.Sprintf("pipelines[%d]", i)
			faults = append(faults, Fault{Path: path, Message: fmt.Sprintf("there is no pipeline %q", name)})
		}
	}
	return faults
}

func (s *state) checkRemoval(c *Change) []Fault {
	id := objectID{kind: c.Kind, name: c.Name}
	if len(c.Body) > 0 {
		return []Fault{{Message: "a removal has no body"}}
	}
	if s.version(id) == 0 {
		return []Fault{{Message: fmt.Sprintf("there is no %s %q", c.Kind, c.Name)}}
	}
	var faults []Fault
	for _, kind := range referringKinds(c.Kind) {
		for _, referrer := range s.list(kind).entries {
			if referrer.parsed.refersTo(id) {
				message := fmt.Sprintf("is used by %s %q", referrer.object.Kind, referrer.object.Name)
				faults = append(faults, Fault{Message: message})
			}
		}
	}
	return faults
}

// referringKinds returns the kinds of object that refer to objects of the given kind.
func referringKinds(kind string) []string {
	switch kind {
	case KindPool:
		return []string{KindPipeline, KindPlacement}
	case KindPipeline:
		return []string{KindContract}
	default:
		return nil
	}
}

func (p parsedObject) refersTo(id objectID) bool {
	if p.pipeline != nil {
		return slices.ContainsFunc(p.pipeline.Stages, func(s Stage) bool { return s.Pool == id.name })
	}
	if p.contract != nil {
		return slices.Contains(p.contract.Pipelines, id.name)
	}
	if p.placement != nil {
		return p.placement.Pool == id.name
	}
	return false
}

// list returns the objects of a kind, sorted by name; an empty kind matches none. The result is cached, because
// the core requests the pools several times a second, beside tens of thousands of contracts.
func (s *state) list(kind string) *objectList {
	if l, ok := s.lists[kind]; ok {
		return l
	}
	l := &objectList{}
	for id, e := range s.objects {
		if id.kind == kind {
			l.entries = append(l.entries, e)
		}
	}
	slices.SortFunc(l.entries, func(a, b *objectEntry) int { return strings.Compare(a.object.Name, b.object.Name) })
	for _, e := range l.entries {
		l.add(e.parsed)
	}
	s.lists[kind] = l
	return l
}

func (l *objectList) add(p parsedObject) {
	switch {
	case p.pool != nil:
		l.pools = append(l.pools, p.pool)
	case p.pipeline != nil:
		l.pipelines = append(l.pipelines, p.pipeline)
	case p.contract != nil:
		l.contracts = append(l.contracts, p.contract)
	case p.placement != nil:
		l.placements = append(l.placements, p.placement)
	}
}
