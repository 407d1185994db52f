package assembler

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"geraniumline/loader"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// ListenError tells which setting's address could not be listened on.
type ListenError struct {
	Field   string
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: can't listen on %s: %v", e.Field, e.Address, e.Err)
}

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// listeners are an entry's sockets.
type listeners struct {
	caller, operator, peer net.Listener
}

// listen opens all sockets, or none.
func listen(s loader.Settings) (listeners, error) {
	var l listeners
	sockets := []struct {
		field, address string
		to             *net.Listener
	}{
		{"callerAddress", s.CallerAddress, &l.caller},
		{"operatorAddress", s.OperatorAddress, &l.operator},
		{"peerAddress", s.PeerAddress, &l.peer},
	}
	for _, socket := range sockets {
		opened, err := net.Listen("tcp", socket.address)
		if err != nil {
			l.close()
			return listeners{}, &ListenError{Field: socket.field, Address: socket.address, Err: err}
		}
		*socket.to = opened
	}
	return l, nil
}

func (l listeners) close() {
	for _, socket := range []net.Listener{l.caller, l.operator, l.peer} {
		if socket != nil {
			_ = socket.Close()
		}
	}
}

// server bounds what one connection may cost.
func (e *entry) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(handler, e.cfg.Settings.MaxBodyBytes),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// operatorPages adds the metrics to the operators' interface.
func (e *entry) operatorPages(operators http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/metrics", e.meter.JSONHandler())
	mux.Handle("/metrics", e.meter.PrometheusHandler())
	mux.Handle("/", operators)
	return mux
}
