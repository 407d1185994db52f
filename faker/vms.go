package faker

import (
	"context"
	"net"
	"net/http"
	"time"

	"geraniumline/platformserver"
)

const maxVMs = 10_000

// VMsConfig configures the VM list.
type VMsConfig struct {
	// Lag is the delay until readers see a change; 0 takes the default [1 s].
	Lag time.Duration
	// VMs is the initial list, visible from the start.
	VMs    []platformserver.VM
	Faults VMFaults
}

// VMFaults are the fault switches of the VM list stand-in.
type VMFaults struct {
	Outage     Outage `json:"outage"`
	SlowMillis int64  `json:"slowMillis"`
	// LagMillis overrides the configured lag if it is greater than 0.
	LagMillis int64 `json:"lagMillis"`
}

func (f VMFaults) check() error {
	return firstError(
		f.Outage.check(),
		checkNotNegative("slowMillis", f.SlowMillis),
		checkNotNegative("lagMillis", f.LagMillis),
	)
}

// VMs is a running stand-in for the platform's VM list, which shows changes with a lag.
type VMs struct {
	unimplemented
	lag     time.Duration
	faults  *switches[VMFaults]
	handler http.Handler
	history *vmHistory
}

// NewVMs returns a VM list that contains the configured VMs.
func NewVMs(cfg VMsConfig) *VMs {
	v := &VMs{
		lag:     valueOrDefault(cfg.Lag, time.Second),
		faults:  newSwitches(cfg.Faults),
		history: &vmHistory{},
	}
	v.history.set(cfg.VMs, time.Time{})
	mux := newPlatformMux(v)
	handleSwitches(mux, v.faults, VMFaults.check)
	v.handleVMs(mux)
	v.handler = mux
	return v
}

// Handler returns the HTTP handler of the list and its control paths.
func (v *VMs) Handler() http.Handler { return v.handler }

// SetFaults replaces all fault switches.
func (v *VMs) SetFaults(faults VMFaults) { v.faults.set(faults) }

// Set replaces the whole list. Readers see the change after the lag.
func (v *VMs) Set(vms []platformserver.VM, now time.Time) { v.history.set(vms, now) }

// ListVms returns the list as of one lag ago. It returns a PlatformError during an outage.
func (v *VMs) ListVms(ctx context.Context) (*platformserver.VmList, error) {
	err := failInOutage(ctx, v.faults, func(f VMFaults) Outage { return f.Outage })
	if err != nil {
		return nil, err
	}
	faults := v.faults.get()
	if err := sleep(ctx, millis(faults.SlowMillis)); err != nil {
		return nil, err
	}
	return &platformserver.VmList{Vms: v.history.at(time.Now().Add(-v.currentLag(faults)))}, nil
}

func (v *VMs) currentLag(faults VMFaults) time.Duration {
	if faults.LagMillis > 0 {
		return millis(faults.LagMillis)
	}
	return v.lag
}

func (v *VMs) handleVMs(mux *http.ServeMux) {
	mux.HandleFunc("GET "+vmsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, platformserver.VmList{Vms: v.history.latest()})
	})
	mux.HandleFunc("PUT "+vmsPath, func(w http.ResponseWriter, r *http.Request) {
		var list vmList
		if !readJSON(w, r, &list) {
			return
		}
		if err := CheckVMs(list.VMs); err != nil {
			writeJSON(w, http.StatusBadRequest, controlError{Code: "badCall", Message: err.Error()})
			return
		}
		v.Set(list.VMs, time.Now())
		w.WriteHeader(http.StatusNoContent)
	})
}

// vmList is the body of the control path. It replaces the generated type, whose own decoder skips
// unknown fields.
type vmList struct {
	VMs []platformserver.VM `json:"vms"`
}

// CheckVMs returns a ConfigError for a list that the platform would never return, or nil.
func CheckVMs(vms []platformserver.VM) error {
	if len(vms) > maxVMs {
		return &ConfigError{Field: "vms", Value: len(vms), Want: "10000 at most"}
	}
	for _, vm := range vms {
		if _, _, err := net.SplitHostPort(vm.Address); err != nil {
			return &ConfigError{Field: "address", Value: vm.Address, Want: "host:port"}
		}
		if vm.State.Validate() != nil {
			return &ConfigError{Field: "state", Value: vm.State, Want: "live or leaving"}
		}
	}
	return nil
}
