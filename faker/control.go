package faker

import (
	"encoding/json"
	"net/http"
)

// Paths by which tests control a stand-in. They are not part of the interfaces that the product uses.
const (
	faultsPath          = "/control/faults"
	ledgerPath          = "/control/ledger"
	vmsPath             = "/control/vms"
	trimPath            = "/control/trim"
	returnPath          = "/control/return"
	maxControlBodyBytes = 1 << 20
)

type controlError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected, so the error cannot be reported to it.
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		writeJSON(w, http.StatusBadRequest, controlError{Code: "badCall", Message: err.Error()})
		return false
	}
	return true
}

// handleSwitches registers GET and PUT handlers for a set of fault switches. PUT replaces the whole set.
func handleSwitches[T any](mux *http.ServeMux, s *switches[T], check func(T) error) {
	mux.HandleFunc("GET "+faultsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.get())
	})
	mux.HandleFunc("PUT "+faultsPath, func(w http.ResponseWriter, r *http.Request) {
		var value T
		if !readJSON(w, r, &value) {
			return
		}
		if err := check(value); err != nil {
			writeJSON(w, http.StatusBadRequest, controlError{Code: "badCall", Message: err.Error()})
			return
		}
		s.set(value)
		writeJSON(w, http.StatusOK, value)
	})
}
