package faker_test

import (
	"testing"
	"time"

	"geraniumline/faker"
)

// BenchmarkServiceCall measures a call with almost no service time, the lower bound of every measurement over
// HTTP.
func BenchmarkServiceCall(b *testing.B) {
	e := faker.NewService(faker.ServiceConfig{
		EndpointConfig: faker.EndpointConfig{Slots: 256, MaxWaiting: 4096}, ServiceTime: time.Nanosecond,
	})
	url := serveEndpoint(b, e)
	call := stageCall("r1")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			runCall(b, url, call)
		}
	})
}
