package forwarder

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/meter"
	"geraniumline/switcher"
)

// stageClasses returns the loads by priority that belong to the loads of stageWaits. The lock must be held.
func (f *Forwarder) stageClasses(now time.Time) []carrier.StageClassWait {
	var list []carrier.StageClassWait
	for service, p := range f.pools {
		var classes []collector.ClassLoad
		if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
			classes = p.ClassLoads(now)
		}
		f.updateClassGauges(service, p, classes)
		list = appendClasses(list, service, classes, 0)
	}
	for service, w := range f.reportedLoads {
		if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
			continue
		}
		if age := now.Sub(w.at); age < loadTTL {
			list = appendClasses(list, service, w.classes, age)
		}
	}
	return list
}

// updateClassGauges sets the gauges of a pool's waits by priority, for all priorities that it has had.
func (f *Forwarder) updateClassGauges(service string, p *collector.Pool, classes []collector.ClassLoad) {
	for priority := range collector.MaxPriority + 1 {
		if !p.HadPriority(priority) {
			continue
		}
		wait := time.Duration(0)
		for _, c := range classes {
			if collector.PriorityOf(c.Class) == priority {
				wait = max(wait, c.Wait)
			}
		}
		f.cfg.Meter.Gauge(meter.PieceClassWaitMillis, service+"/"+strconv.Itoa(priority)).Update(wait.Milliseconds())
	}
}

func appendClasses(list []carrier.StageClassWait, service string, classes []collector.ClassLoad, age time.Duration) []carrier.StageClassWait {
	for _, c := range classes {
		list = append(list, carrier.StageClassWait{
			Service:          service,
			Priority:         int32(c.Class),
			Millis:           int32(c.Wait.Milliseconds()),
			TurnaroundMillis: int32(c.Turnaround.Milliseconds()),
			AgeMillis:        uint32(age.Milliseconds()),
		})
	}
	return list
}

// applyStageClasses adds the loads by priority from a heartbeat to the loads that applyStageWaits has stored from it. They are
// valid only together: a newer load of a peer whose release reports none by priority replaces both. The lock must be held.
func (f *Forwarder) applyStageClasses(list []carrier.StageClassWait, now time.Time) {
	if f.cfg.Disabled.Has(switcher.ClassLoads) {
		return
	}
	added := make(map[string][]collector.ClassLoad)
	for _, s := range list {
		w, known := f.reportedLoads[s.Service]
		at := now.Add(-time.Duration(s.AgeMillis) * time.Millisecond)
		if !known || w.classes != nil || !w.at.Equal(at) || s.Priority < 0 || s.Priority >= collector.ClassCount {
			continue
		}
		added[s.Service] = append(added[s.Service], collector.ClassLoad{
			Class:      int(s.Priority),
			Wait:       time.Duration(s.Millis) * time.Millisecond,
			Turnaround: time.Duration(s.TurnaroundMillis) * time.Millisecond,
		})
	}
	for service, classes := range added {
		byClass := func(a, b collector.ClassLoad) int { return cmp.Compare(a.Class, b.Class) }
		slices.SortFunc(classes, byClass)
		w := f.reportedLoads[service]
		w.classes = slices.CompactFunc(classes, func(a, b collector.ClassLoad) bool { return a.Class == b.Class })
		f.reportedLoads[service] = w
	}
}
