package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"geraniumline/budgeter"
	"geraniumline/guarder"
	"geraniumline/loader"
	"geraniumline/operatorserver"
	"geraniumline/presenter"
	"geraniumline/receiver"
	"geraniumline/verifier"
)

// Values of the metrics' socket label.
const (
	socketCaller   = "caller"
	socketOperator = "operator"
	socketPeer     = "peer"
	// socketRequests is the label of what callers' and operators' requests hold together.
	socketRequests = "requests"
	// socketAuxiliary is the label of the sockets for readiness checks, addresses and metrics.
	socketAuxiliary = "auxiliary"
)

// Shares of the memory that the connections of callers and of operators may hold without a request.
const (
	callerConnectionShare   = 0.2
	operatorConnectionShare = 0.05
)

// sockets holds the servers for callers and operators.
type sockets struct {
	callers   *guarder.Server
	operators *guarder.Server
}

// openPeers listens for connections from peers. The messenger enforces the limits on each connection.
func (e *entry) openPeers() (net.Listener, error) {
	s := e.cfg.Settings
	return guarder.Listen(guarder.ListenConfig{
		Field:          "peerAddress",
		Socket:         socketPeer,
		Address:        s.PeerAddress,
		MaxConnections: int(s.MaxConnections),
		Meter:          e.meter,
	})
}

// openSockets opens the sockets for callers and operators. If either fails, none stays open.
func (e *entry) openSockets() (sockets, error) {
	callers, operators, err := e.handlers()
	if err != nil {
		return sockets{}, oops.In("assembler").Wrap(err)
	}
	s := e.cfg.Settings
	credentialVerifier := verifier.New(verifier.Config{})
	requests := budgeter.ForMemory(s.MemoryBytes)
	e.admission = guarder.NewAdmission(guarder.AdmissionConfig{Socket: socketRequests, Budget: requests, Meter: e.meter, Log: e.cfg.Log})
	var opened sockets
	callerSocket := e.socket("callerAddress", socketCaller, s.CallerAddress, s.TLS.Caller, credentialVerifier, callers)
	callerSocket.MaxConnections = e.connections(callerConnectionShare)
	operatorSocket := e.socket("operatorAddress", socketOperator, s.OperatorAddress, s.TLS.Operator, credentialVerifier, operators)
	operatorSocket.MaxConnections = e.connections(operatorConnectionShare)
	e.cfg.Log.Info("limits of clients",
		zap.Int64("requestBytes", requests.Bytes),
		zap.Int64("longestRequestBytes", requests.MaxBytes()),
		zap.Int("callerConnections", callerSocket.MaxConnections),
		zap.Int("operatorConnections", operatorSocket.MaxConnections))
	opened.callers, err = guarder.Open(callerSocket)
	if err != nil {
		return sockets{}, err
	}
	opened.operators, err = guarder.Open(operatorSocket)
	if err != nil {
		return sockets{}, errors.Join(err, opened.callers.Close())
	}
	return opened, nil
}

// connections returns the connection limit of a socket whose connections may hold a share of the memory.
func (e *entry) connections(share float64) int {
	s := e.cfg.Settings
	return min(int(s.MaxConnections), budgeter.ConnectionsWithin(s.MemoryBytes, share))
}

// socket returns the configuration of a socket but for its connection limit.
func (e *entry) socket(field, label, address string, certificate loader.Certificate, credentialVerifier *verifier.Verifier, handler http.Handler) guarder.Config {
	return guarder.Config{
		ListenConfig: guarder.ListenConfig{
			Field:   field,
			Socket:  label,
			Address: address,
			Meter:   e.meter,
		},
		Certificate:  guarder.CertificateConfig{CertFile: certificate.CertFile, KeyFile: certificate.KeyFile},
		Handler:      handler,
		MaxBodyBytes: e.cfg.Settings.MaxBodyBytes,
		Admission:    e.admission,
		Verifier:     credentialVerifier,
		Log:          e.cfg.Log,
	}
}

// handlers returns the HTTP handlers for callers and operators.
func (e *entry) handlers() (callers, operators http.Handler, err error) {
	callers, err = receiver.NewCallerHandler(receiver.CallerAPIConfig{Core: e.performer, Tracer: e.tracer, Meter: e.meter})
	if err != nil {
		return nil, nil, err
	}
	operatorAPI := receiver.NewOperatorAPI(receiver.OperatorAPIConfig{
		Core:             e.performer,
		Tracer:           e.tracer,
		CredentialHashes: operatorHashes(e.cfg.Settings),
	})
	api, err := operatorAPI.Handler()
	if err != nil {
		return nil, nil, err
	}
	return callers, e.operatorPages(operatorAPI, api), nil
}

// operatorPages adds the status page and the metrics to the operator API. All of them require an operator
// credential, because metrics contain the names of client accounts.
func (e *entry) operatorPages(operators *receiver.OperatorAPI, api http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /{$}", operators.Authenticated(presenter.Handler(statusOf(operators), time.Now)))
	mux.Handle("GET /v1/metrics", operators.Authenticated(e.meter.JSONHandler()))
	mux.Handle("GET /metrics", operators.Authenticated(e.meter.PrometheusHandler()))
	mux.Handle("/", api)
	return mux
}

func statusOf(operators *receiver.OperatorAPI) func(context.Context) (operatorserver.Status, error) {
	return func(ctx context.Context) (operatorserver.Status, error) {
		status, err := operators.GetStatus(ctx)
		if err != nil {
			return operatorserver.Status{}, err
		}
		return *status, nil
	}
}

func operatorHashes(s loader.Settings) map[string]string {
	hashes := map[string]string{}
	for _, operator := range s.Operators {
		hashes[operator.Name] = operator.CredentialSHA256
	}
	return hashes
}
