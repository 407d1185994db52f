package messenger

import "github.com/rcrowley/go-metrics"

// counts are the messenger's counters in the registry.
type counts struct {
	sent, received           metrics.Counter
	bytesSent, bytesReceived metrics.Counter
	// dropped messages found no room; lost ones were taken up but the peer could not be reached.
	dropped, lost metrics.Counter
	// replaced heartbeats gave way to newer ones.
	replaced       metrics.Counter
	refused        metrics.Counter
	evicted        metrics.Counter
	badFrames      metrics.Counter
	acceptFailures metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peers."+name, r)
	}
	return counts{
		sent:           counter("framesSent"),
		received:       counter("framesReceived"),
		bytesSent:      counter("bytesSent"),
		bytesReceived:  counter("bytesReceived"),
		dropped:        counter("messagesDropped"),
		lost:           counter("messagesLost"),
		replaced:       counter("heartbeatsReplaced"),
		refused:        counter("connectionsRefused"),
		evicted:        counter("connectionsEvicted"),
		badFrames:      counter("badFrames"),
		acceptFailures: counter("acceptFailures"),
	}
}
