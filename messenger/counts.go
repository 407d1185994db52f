package messenger

import "github.com/rcrowley/go-metrics"

// counters are the messenger's counters in the registry.
type counters struct {
	sent, received           metrics.Counter
	bytesSent, bytesReceived metrics.Counter
	// dropped counts messages that were too large or could not be queued; lost counts queued messages that could not be
	// delivered.
	dropped, lost metrics.Counter
	// replaced counts queued heartbeats that were replaced by newer ones.
	replaced       metrics.Counter
	refused        metrics.Counter
	evicted        metrics.Counter
	badFrames      metrics.Counter
	acceptFailures metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peers."+name, r)
	}
	return counters{
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
