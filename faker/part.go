package faker

// Part is one line of a stage's reply: StagePart of schema/endpoint.yaml. The generator leaves that
// type out, since a raw response refers to no schema.
type Part struct {
	RequestID string `json:"requestId"`
	Stage     string `json:"stage"`
	Attempt   int    `json:"attempt"`
	StreamID  string `json:"streamId"`
	Seq       int    `json:"seq"`
	Text      string `json:"text"`
	Final     bool   `json:"final"`
	// Total counts all parts, the final one included. It comes with the final part, as the rest does.
	Total int `json:"total,omitempty"`
	// Cost is the endpoint's work in milliseconds.
	Cost         float64 `json:"cost,omitempty"`
	CachedTokens int     `json:"cachedTokens,omitempty"`
	Error        string  `json:"error,omitempty"`
}
