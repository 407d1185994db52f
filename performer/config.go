package performer

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"geraniumline/appender"
	"geraniumline/carrier"
	"geraniumline/meter"
	"geraniumline/platformserver"
	"geraniumline/tracer"
)

// Sender hands messages to other entries without waiting.
type Sender interface {
	Send(peerAddress string, message carrier.Message)
}

// Config holds a performer's collaborators.
type Config struct {
	// Entry is this entry's name, Incarnation this process's number.
	Entry       string
	Incarnation uint64
	Appender    *appender.Appender
	// VMs reads the platform's list of VMs.
	VMs       *platformserver.Client
	Messenger Sender
	// Endpoints is the client for calls to endpoints; its transport pools the connections.
	Endpoints *http.Client
	Meter     *meter.Meter
	Tracer    *tracer.Tracer
	Log       *zap.Logger

	VMListEvery     time.Duration
	LoadReportEvery time.Duration
}

// EndpointTransport is a transport for many calls to few endpoints.
func EndpointTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:   endpointIdleConnections,
		IdleConnTimeout:       endpointIdleTimeout,
		ResponseHeaderTimeout: 0,
		DisableCompression:    true,
		DialContext:           dialer().DialContext,
	}
}
