package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// stream answers a request of a streaming route with events up to count, after the one that it names.
func stream(c *channel, r *http.Request, stamp string, count int, pause time.Duration) bool {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nGeraniumline-Attempt-Id: %s\r\nGeraniumline-Server-Stamp: %s\r\nContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n", r.Header.Get("Geraniumline-Attempt-Id"), stamp)
	if err != nil {
		return false
	}
	for n := last + 1; n <= count; n++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// modelService is the configuration of the service of model endpoints.
func modelService() map[string]any {
	return map[string]any{
		"Name": "pool", "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1", "Tls": false,
		"EngineId": map[string]any{"Slots": 64, "KvCapacity": 470149, "HandleTtlS": 5.0},
	}
}
