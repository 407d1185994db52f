package publisher

// Pool gives the pool of this name in force. The result must not be changed.
func (f *Fold) Pool(name string) (*Pool, bool) {
	e, ok := f.state.objects[objectID{kind: KindPool, name: name}]
	if !ok {
		return nil, false
	}
	return e.parsed.pool, true
}

// Pipeline gives the pipeline of this name in force. The result must not be changed.
func (f *Fold) Pipeline(name string) (*Pipeline, bool) {
	e, ok := f.state.objects[objectID{kind: KindPipeline, name: name}]
	if !ok {
		return nil, false
	}
	return e.parsed.pipeline, true
}

// Contract gives the contract of a client account in force. The result must not be changed.
func (f *Fold) Contract(account string) (*Contract, bool) {
	e, ok := f.state.objects[objectID{kind: KindContract, name: account}]
	if !ok {
		return nil, false
	}
	return e.parsed.contract, true
}

// Pools gives all pools by name.
func (f *Fold) Pools() []*Pool {
	var out []*Pool
	for _, e := range f.state.sorted(KindPool) {
		out = append(out, e.parsed.pool)
	}
	return out
}

// Pipelines gives all pipelines by name.
func (f *Fold) Pipelines() []*Pipeline {
	var out []*Pipeline
	for _, e := range f.state.sorted(KindPipeline) {
		out = append(out, e.parsed.pipeline)
	}
	return out
}

// Contracts gives all contracts by account.
func (f *Fold) Contracts() []*Contract {
	var out []*Contract
	for _, e := range f.state.sorted(KindContract) {
		out = append(out, e.parsed.contract)
	}
	return out
}

// Objects gives the objects in force by kind and name; an empty kind or name stands for all.
func (f *Fold) Objects(kind, name string) []Object {
	var out []Object
	for _, k := range []string{KindContract, KindPipeline, KindPool} {
		if kind != "" && kind != k {
			continue
		}
		for _, e := range f.state.sorted(k) {
			if name == "" || name == e.object.Name {
				out = append(out, e.object)
			}
		}
	}
	return out
}
