package publisher

import (
	"encoding/json"
	"fmt"
)

const (
	// maxPlacedModels limits the number of models of one pool.
	maxPlacedModels = 256
	maxAdapters     = 64
	maxCopies       = 1 << 16
)

// Placement defines which models the engines of a pool must hold. At most one placement per pool is in effect:
// the first by name.
type Placement struct {
	Name   string        `json:"name"`
	Pool   string        `json:"pool"`
	Models []PlacedModel `json:"models"`
}

// PlacedModel is one model of a placement.
type PlacedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role"`
	// MinCopies is the minimum number of engines that hold the model, however low its load.
	MinCopies int `json:"minCopies"`
	// Weight is the model's share of the engines while no model is under pressure, relative to the other
	// models' weights.
	Weight float64 `json:"weight"`
}

func parsePlacement(name string, body []byte, faults *[]Fault) *Placement {
	r := newFieldReader("", body, faults)
	defer r.reportUnknown()
	p := &Placement{Name: r.optionalName("name", name), Pool: r.name("pool", true)}
	var models []json.RawMessage
	if !r.read("models", "a list of models", true, &models) {
		return p
	}
	if len(models) == 0 || len(models) > maxPlacedModels {
		r.addFault("models", "must have from 1 to %d models", maxPlacedModels)
		return p
	}
	seen := make(map[string]bool)
	for i, raw := range models {
		path := fmt.Sprintf("models[%d]", i)
		model := parsePlacedModel(path, raw, faults)
		if model.Model != "" && seen[model.Model] {
			r.addFault(path+".model", "is named by an earlier line")
		}
		seen[model.Model] = true
		p.Models = append(p.Models, model)
	}
	return p
}

func parsePlacedModel(path string, body []byte, faults *[]Fault) PlacedModel {
	r := newFieldReader(path, body, faults)
	defer r.reportUnknown()
	m := PlacedModel{
		Model:     r.name("model", true),
		Version:   r.name("version", true),
		Role:      r.oneOf("role", RolePrefill, RoleDecode, RoleBoth),
		MinCopies: int(r.integer("minCopies", true, 0, maxCopies)),
		Weight:    r.positive("weight"),
	}
	r.read("adapters", "a list of adapter names", false, &m.Adapters)
	if len(m.Adapters) > maxAdapters {
		r.addFault("adapters", "must name at most %d adapters", maxAdapters)
	}
	seen := make(map[string]bool)
	for i, adapter := range m.Adapters {
		if !namePattern.MatchString(adapter) || seen[adapter] {
			r.addFault(fmt.Sprintf("adapters[%d]", i), "must match %s and be named once", namePattern)
		}
		seen[adapter] = true
	}
	return m
}

// Placements returns all placements, sorted by name. The result must not be modified.
func (f *Fold) Placements() []*Placement { return f.state.list(KindPlacement).placements }

// Placement returns the placement that is in effect for a pool: the first by name, so that two objects for one
// pool don't make its engines load models back and forth. The result must not be modified.
func (f *Fold) Placement(pool string) (*Placement, bool) {
	for _, p := range f.state.list(KindPlacement).placements {
		if p.Pool == pool {
			return p, true
		}
	}
	return nil, false
}
