package placer

import (
	"fmt"
	"testing"
	"time"

	"geraniumline/publisher"
)

// BenchmarkOrders measures one round of decisions for a pool whose engines already hold what they should, which is the
// usual case.
func BenchmarkOrders(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{10, 2}, {100, 8}, {1000, 34}, {10_000, 34}} {
		b.Run(fmt.Sprintf("%d engines, %d models", size.engines, size.models), func(b *testing.B) {
			now := time.UnixMilli(1_800_000_000_000)
			p := New(Config{})
			var models []publisher.PlacedModel
			inUse := map[string]bool{}
			for i := range size.models {
				name := fmt.Sprintf("model-%02d", i)
				models = append(models, placed(name, 1, 1))
				inUse[name] = true
			}
			var addresses []string
			for i := range size.engines {
				addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:80", i/250, i%250))
			}
			p.SetEngines(addresses)
			for i, address := range addresses {
				p.ObserveState(address, Assignment{Model: models[i%len(models)].Model, Version: "1", Role: publisher.RoleBoth, Fence: 1}, now, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(p.Orders(placement(models...), inUse, Lease{Fence: 1, Granted: 1}, now)) > 0 {
					b.Fatal("unexpected order in an idle pool")
				}
			}
		})
	}
}
