package messenger

import (
	"bytes"
	"testing"

	"geraniumline/carrier"
)

// FuzzFrames reads frames from arbitrary bytes: the reader must not panic or allocate more than the limit.
// The corpus holds messages that entries send and bytes that a foreign client might send.
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
				t.Fatalf("can't encode decoded message: %v", err)
			}
		}
		if cap(frames.buf) > limit {
			t.Fatalf("allocated %d bytes, limit %d", cap(frames.buf), limit)
		}
		sealed := &frameReader{r: bytes.NewReader(data), limit: limit, opener: newSealer([]byte(testKey))}
		if m, err := sealed.next(); err == nil {
			t.Fatalf("accepted a frame without a valid tag: %v", m)
		}
	})
}
