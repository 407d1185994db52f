package performer

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"geraniumline/appender"
	"geraniumline/carrier"
	"geraniumline/connector"
	"geraniumline/dialer"
	"geraniumline/meter"
	"geraniumline/platformserver"
	"geraniumline/tracer"
)

// Sender sends messages to other entries.
type Sender interface {
	// Send queues a message and never blocks.
	Send(peerAddress string, message carrier.Message)
}

// Config holds a Performer's dependencies and intervals.
type Config struct {
	// Entry is this entry's name, and Incarnation is the number of this process.
	Entry       string
	Incarnation uint64
	Appender    *appender.Appender
	// VMs is the client for the platform's list of VMs.
	VMs       *platformserver.Client
	Messenger Sender
	// Endpoints is the HTTP client for endpoints; its transport pools connections.
	Endpoints *http.Client
	// Responses limits the memory of endpoints' replies that have not ended; nil takes a default.
	Responses *connector.Budget
	Meter     *meter.Meter
	Tracer    *tracer.Tracer
	Log       *zap.Logger

	// VMListEvery and LoadReportEvery are the intervals for reading the list of VMs and the endpoints' reports.
	VMListEvery     time.Duration
	LoadReportEvery time.Duration
}

func (c Config) withDefaults() Config {
	if c.Responses == nil {
		c.Responses = connector.NewBudget(0)
	}
	return c
}

// maxHeadBytes limits the header of an endpoint's response.
const maxHeadBytes = 64 << 10

// EndpointTransport returns an HTTP transport for many calls to few endpoints.
func EndpointTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:   endpointIdleConnections,
		IdleConnTimeout:       endpointIdleTimeout,
		ResponseHeaderTimeout: 0,
		DisableCompression:    true,
		DialContext:           dialer.Bounded(newDialer()),

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
