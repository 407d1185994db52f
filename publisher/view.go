package publisher

// Pool returns the pool of this name in force. The result must not be modified.
func (f *Fold) Pool(name string) (*Pool, bool) {
	e, ok := f.state.objects[objectID{kind: KindPool, name: name}]
	if !ok {
		return nil, false
	}
	return e.parsed.pool, true
}

// Pipeline returns the pipeline of this name in force. The result must not be modified.
func (f *Fold) Pipeline(name string) (*Pipeline, bool) {
	e, ok := f.state.objects[objectID{kind: KindPipeline, name: name}]
	if !ok {
		return nil, false
	}
	return e.parsed.pipeline, true
}

// Contract returns the contract of a client account in force. The result must not be modified.
func (f *Fold) Contract(account string) (*Contract, bool) {
	e, ok := f.state.objects[objectID{kind: KindContract, name: account}]
	if !ok {
		return nil, false
	}
	return e.parsed.contract, true
}

// Pools returns all pools, sorted by name. The result must not be modified.
func (f *Fold) Pools() []*Pool { return f.state.list(KindPool).pools }

// Pipelines returns all pipelines, sorted by name. The result must not be modified.
func (f *Fold) Pipelines() []*Pipeline { return f.state.list(KindPipeline).pipelines }

// Contracts returns all contracts, sorted by account. The result must not be modified.
func (f *Fold) Contracts() []*Contract { return f.state.list(KindContract).contracts }

// Objects returns the objects in force, sorted by kind and name; an empty kind or name matches all.
func (f *Fold) Objects(kind, name string) []Object {
	var out []Object
	for _, k := range []string{KindContract, KindPipeline, KindPlacement, KindPool} {
		if kind != "" && kind != k {
			continue
		}
		if name != "" {
			out = f.state.appendObject(out, objectID{kind: k, name: name})
			continue
		}
		for _, e := range f.state.list(k).entries {
			out = append(out, e.object)
		}
	}
	return out
}

func (s *state) appendObject(out []Object, id objectID) []Object {
	if e, ok := s.objects[id]; ok {
		return append(out, e.object)
	}
	return out
}
