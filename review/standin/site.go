package main

import "time"

// siteHost is the host of all routes.
const siteHost = "review.example"

const (
	// prefillTime is the time to the first event: 17,020 prompt tokens at 37.9 in a ms.
	prefillTime = 450 * time.Millisecond
	// eventCount and eventTime are those of a stream: 40 events of 3 tokens.
	eventCount = 40
	eventTime  = 15 * time.Millisecond
)

// service describes the engines of one service of the site.
type service struct {
	perZone   []int
	batch     int
	pieceTime time.Duration
	roomMb    float64
	model     bool
}

// services are those of the site kdw-hewa.
var services = map[string]service{
	"geranium-pool": {perZone: []int{3, 3, 3}, model: true},
	"alert-api":     {perZone: []int{1, 1, 1}},
	"club-portal":   {perZone: []int{1, 1, 1}, batch: 8, pieceTime: 16 * time.Millisecond, roomMb: 36},
	"billing-desk":  {perZone: []int{2, 1, 1}, batch: 8, pieceTime: 16 * time.Millisecond, roomMb: 1.3},
	"map-tiles":     {perZone: []int{2, 2, 1}, batch: 16, pieceTime: 8 * time.Millisecond, roomMb: 0.27},
}

// startServices starts all engines of the site.
func (w *world) startServices() error {
	for name, s := range services {
		for zone, count := range s.perZone {
			for range count {
				e, err := w.startEngine(name, zones[zone], "v1")
				if err != nil {
					return err
				}
				if s.model {
					e.handle = e.answerStream
				}
			}
		}
	}
	return nil
}

// serviceRecords returns the services as the operator writes them.
func serviceRecords() []map[string]any {
	var list []map[string]any
	for name, s := range services {
		r := map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1", "Tls": false}
		if s.model {
			r["EngineId"] = map[string]any{"Slots": 64, "KvCapacity": 470149}
		}
		if s.batch > 0 {
			r["Segments"] = map[string]any{
				"Slots": stageSlots, "Queue": stageQueue, "Batch": s.batch, "CallMs": callTime.Milliseconds(),
				"ItemMs": s.pieceTime.Milliseconds(), "HeadroomMb": s.roomMb, "HandleTtlS": resultTTL.Seconds(), "LinkMbps": 10000,
			}
		}
		list = append(list, r)
	}
	return list
}

// Paths of the site's routes.
const (
	digestPath = "/season-digest/"
	alertPath  = "/rain-alert/"
)

// routeRecords returns the routes as the operator writes them.
func routeRecords() []map[string]any {
	return []map[string]any{
		{
			"Name": "season-digest", "Host": siteHost, "PathPrefix": digestPath, "RouteType": "streaming", "TimeoutMs": 15000,
			"GoalMs": 2200, "Priority": 1, "Service": "geranium-pool", "MaxAttempts": 1, "Anonymous": false, "Sticky": true,
			"Resumable": false, "GapTargetMs": 400,
			"Phases": []map[string]any{
				{"Service": "club-portal", "After": []int{}, "ByteCount": 3000000},
				{"Service": "club-portal", "After": []int{}, "ByteCount": 8000},
				{"Service": "billing-desk", "After": []int{1}, "ByteCount": 60000},
				{"Service": "map-tiles", "After": []int{2}, "ByteCount": 6000},
			},
		},
		{
			"Name": "rain-alert", "Host": siteHost, "PathPrefix": alertPath, "RouteType": "non_idempotent", "TimeoutMs": 800,
			"GoalMs": 300, "Priority": 2, "Service": "alert-api", "MaxAttempts": 1, "Anonymous": false,
		},
	}
}
