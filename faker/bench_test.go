package faker_test

import (
	"testing"
	"time"

	"geraniumline/faker"
)

// BenchmarkServiceCall is the floor under every measurement over HTTP: a call that works for no time.
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
