package faker

import (
	"sync"
	"time"

	"geraniumline/platformserver"
)

type vmVersion struct {
	at  time.Time
	vms []platformserver.VM
}

const maxVMVersions = 1024

// vmHistory stores past versions of the VM list, for lookup by time.
type vmHistory struct {
	mu       sync.Mutex
	versions []vmVersion
}

func (h *vmHistory) set(vms []platformserver.VM, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, vmVersion{at: now, vms: append([]platformserver.VM{}, vms...)})
	if len(h.versions) > maxVMVersions {
		h.versions = append(h.versions[:0:0], h.versions[1:]...)
	}
}

func (h *vmHistory) at(cutoff time.Time) []platformserver.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.versions) - 1; i > 0; i-- {
		if !h.versions[i].at.After(cutoff) {
			return h.versions[i].vms
		}
	}
	return h.versions[0].vms
}

func (h *vmHistory) latest() []platformserver.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions[len(h.versions)-1].vms
}
