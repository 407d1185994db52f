package messenger

import (
	"bytes"
	"testing"

	"geraniumline/carrier"
)

// FuzzFrames reads frames from any bytes: no panic, and no body beyond the limit.
// The corpus is what entries send, and what strangers might.
func FuzzFrames(f *testing.F) {
	const limit = 4 << 10
	for _, m := range []carrier.Message{
		&carrier.Challenge{Nonce: make([]byte, nonceSize), Entry: "a"},
		&carrier.Proof{Mac: make([]byte, 32)},
		&carrier.Heartbeat{From: carrier.Member{Name: "a"}, Members: make([]carrier.Member, 2)},
		&carrier.RecordsCall{CallID: 1, Stream: "config", From: 5},
		&carrier.Records{CallID: 1, Records: []carrier.Record{{Offset: 5, Data: []byte("{}")}}},
		&carrier.OutcomeCall{CallID: 2, Account: "wards", Key: "k"},
		&carrier.Outcome{CallID: 2, Answer: "done"},
		&carrier.Handover{CallID: 3, Outcomes: make([]carrier.Outcome, 2)},
		&carrier.PieceRequest{Service: "s", Request: "r", Numbers: []int32{0, 1}, Inputs: []string{"h"}},
		&carrier.PieceResults{Service: "s", Results: make([]carrier.PieceResult, 2)},
		&carrier.LoadReport{Endpoints: make([]carrier.EndpointWork, 1)},
		&carrier.Heartbeat{From: carrier.Member{Name: "a"}, Stages: make([]carrier.StageWait, 2), ConfigAgeMillis: 1},
		&carrier.EndpointsNews{From: 1, Next: 2, Entries: make([]carrier.EndpointEntry, 1)},
	} {
		f.Add(encode(f, m))
	}
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{255, 255, 255, 255, 3})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		frames := &frameReader{r: bytes.NewReader(data), limit: limit}
		for {
			m, err := frames.next()
			if err != nil {
				break
			}
			if again, err := m.MarshalMsg(nil); err != nil || len(again) == 0 {
				t.Fatalf("decoded message can't be encoded: %v", err)
			}
		}
		if cap(frames.buf) > limit {
			t.Fatalf("%d bytes taken, limit %d", cap(frames.buf), limit)
		}
		sealed := &frameReader{r: bytes.NewReader(data), limit: limit, opener: newSealer([]byte(testKey))}
		if m, err := sealed.next(); err == nil {
			t.Fatalf("frame without a right tag was read: %v", m)
		}
	})
}
