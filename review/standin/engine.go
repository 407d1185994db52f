package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which engines write their entries.
const heartbeat = 1200 * time.Millisecond

// Headers that engines and clients use.
const (
	headerAttempt  = "Geraniumline-Attempt-Id"
	headerInstance = "Geraniumline-Expect-Instance"
	headerNotRun   = "Geraniumline-Not-Executed"
	headerStamp    = "Geraniumline-Server-Stamp"
	headerInputs   = "Geraniumline-Input-Count"
	headerLoad     = "Geraniumline-Server-Load"
	headerPieceKey = "Geraniumline-Chunk-Key"
	headerCounts   = "Geraniumline-Chunk-Count"
	headerDeadline = "Geraniumline-Deadline-Ms"
)

// engine is one engine of a service on a loopback address.
type engine struct {
	w        *world
	id       string
	service  string
	zone     string
	version  string
	born     time.Time
	listener net.Listener
	// handle serves a request whose instance is right.
	handle func(c *engineConn, r *http.Request, body []byte) error

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	seq    int
	// waiting counts the calls for pieces in work or in the queue; slot is held by the one in work.
	waiting int
	slot    sync.Mutex
	// doubles decides which answers to calls for pieces come a second time; nil for none.
	doubles *doubler
}

// engineConn is one channel to an engine.
type engineConn struct {
	net.Conn
	e *engine
	// extra is an answer that is sent once more when the next call for pieces has arrived on the channel.
	extra []byte
}

// startEngine starts an engine and registers it in the store.
func (w *world) startEngine(service, zone, version string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		w: w, id: fmt.Sprintf("i-%s-%08x", service, rand.Uint32()), service: service, zone: zone, version: version,
		born: time.Now(), listener: l, conns: make(map[net.Conn]bool),
	}
	e.handle = e.answerPlain
	w.engines = append(w.engines, e)
	go e.accept()
	go e.register()
	return e, nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

// register writes the engine's entry at its start and with each heartbeat.
func (e *engine) register() {
	for e.write() {
		time.Sleep(heartbeat)
	}
}

// write writes the engine's entry unless it is down. It returns false once the engine is closed.
func (e *engine) write() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.seq++
	e.w.store.PutJSON("keyed.servers", e.id, map[string]any{
		"Service": e.service, "Address": e.listener.Addr().String(), "Zone": e.zone, "Version": e.version, "Slots": 64,
		"State": "in_service", "ColdLeftMs": 0, "SeqNo": e.seq, "born": e.born.UnixMilli(),
	})
	return true
}

func (e *engine) accept() {
	e.mu.Lock()
	l := e.listener
	e.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(&engineConn{Conn: c, e: e})
	}
}

func (e *engine) serve(c *engineConn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c.Conn)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if err := e.dispatch(c, r, body); err != nil {
			return
		}
	}
}

func (e *engine) dispatch(c *engineConn, r *http.Request, body []byte) error {
	if expected := r.Header.Get(headerInstance); expected != "" && expected != e.id {
		return c.answer(r, http.StatusMisdirectedRequest, http.Header{"Geraniumline-Instance-Id": {e.id}}, nil)
	}
	switch r.URL.Path {
	case "/geraniumline/stage-run":
		return e.runPieces(c, r, body)
	case "/geraniumline/stage-free":
		return e.freePieces(c, r, body)
	default:
		return e.handle(c, r, body)
	}
}

// close ends the engine's process.
func (e *engine) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for c := range e.conns {
		_ = c.Close()
	}
}

// encodeAnswer returns an answer that echoes the attempt's ID if the request has one.
func encodeAnswer(r *http.Request, status int, h http.Header, body []byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.Header.Get(headerAttempt); id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerAttempt, id)
	}
	for name, values := range h {
		fmt.Fprintf(&b, "%s: %s\r\n", name, values[0])
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return []byte(b.String())
}

func (c *engineConn) answer(r *http.Request, status int, h http.Header, body []byte) error {
	_, err := c.Write(encodeAnswer(r, status, h, body))
	return err
}

func (e *engine) stamp() string { return fmt.Sprintf("%s.%08x", e.id, rand.Uint32()) }

// answerPlain runs a request of a plain service.
func (e *engine) answerPlain(c *engineConn, r *http.Request, _ []byte) error {
	id := r.Header.Get(headerAttempt)
	e.w.checkRun(e, r)
	time.Sleep(60 * time.Millisecond)
	body := []byte("result of " + id)
	return c.answer(r, http.StatusOK, http.Header{headerStamp: {e.stamp()}}, body)
}

// piece is one entry of a call for pieces.
type piece struct {
	ID        string `json:"Id"`
	Phase     int
	Segment   int
	LeftMs    int64
	Key       string
	InputList []string
}

// result is a stage's result. origins are the keys of the requests whose input it was made from.
type result struct {
	piece   piece
	origins []string
	expires time.Time
}

const (
	// callTime and pieceTime are those of the site's stages; slots, queue and resultTTL too.
	callTime   = 150 * time.Millisecond
	resultTTL  = 4 * time.Second
	stageSlots = 1
	stageQueue = 2
)

type pieceAnswer struct {
	Handle string `json:",omitempty"`
	Reason string `json:",omitempty"`
}

func (e *engine) runPieces(c *engineConn, r *http.Request, body []byte) error {
	if c.extra != nil {
		e.w.rec.add("%s sends an answer again on a kept channel, where the answer to the next call is due", e.id)
		if _, err := c.Write(c.extra); err != nil {
			return err
		}
		c.extra = nil
	}
	var call struct{ Entries []piece }
	if err := json.Unmarshal(body, &call); err != nil {
		return c.answer(r, http.StatusBadRequest, nil, nil)
	}
	e.mu.Lock()
	full := e.waiting >= stageSlots+stageQueue
	if !full {
		e.waiting++
	}
	load := fmt.Sprintf("%d,%d,%d", min(e.waiting, stageSlots), max(0, e.waiting-stageSlots), stageSlots)
	e.mu.Unlock()
	arrived := time.Now()
	if full {
		return c.answer(r, http.StatusServiceUnavailable, http.Header{headerNotRun: {"1"}, headerLoad: {load}}, nil)
	}
	e.slot.Lock()
	answers := make([]pieceAnswer, len(call.Entries))
	for i, p := range call.Entries {
		if time.Since(arrived) > time.Duration(p.LeftMs)*time.Millisecond {
			answers[i] = pieceAnswer{Reason: "late"}
			continue
		}
		answers[i] = e.w.runPiece(e, p)
	}
	time.Sleep(callTime + time.Duration(len(call.Entries))*services[e.service].pieceTime)
	e.w.keepResults(answers)
	e.slot.Unlock()
	e.mu.Lock()
	e.waiting--
	again := e.doubles
	e.mu.Unlock()
	data, err := json.Marshal(map[string]any{"Entries": answers})
	if err != nil {
		return err
	}
	response := encodeAnswer(r, http.StatusOK, http.Header{"Content-Type": {"application/json"}, headerLoad: {load}}, data)
	if again.take() {
		c.extra = response
	}
	_, err = c.Write(response)
	return err
}

// doubler selects a share of the answers of a few engines.
type doubler struct {
	mu         sync.Mutex
	share, due float64
}

// take counts one answer and reports whether it comes a second time.
func (d *doubler) take() bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.due += d.share
	if d.due < 1 {
		return false
	}
	d.due--
	return true
}

// keepResults sets how long the results of a call that ends now are kept.
func (w *world) keepResults(answers []pieceAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range answers {
		if r, held := w.results[a.Handle]; held {
			r.expires = time.Now().Add(resultTTL)
		}
	}
}

func (e *engine) freePieces(c *engineConn, r *http.Request, body []byte) error {
	var call struct{ Handles []string }
	if err := json.Unmarshal(body, &call); err != nil {
		return c.answer(r, http.StatusBadRequest, nil, nil)
	}
	e.w.mu.Lock()
	for _, handle := range call.Handles {
		delete(e.w.results, handle)
	}
	e.w.mu.Unlock()
	return c.answer(r, http.StatusOK, nil, nil)
}

// runPiece makes one piece and checks its inputs.
func (w *world) runPiece(e *engine, p piece) pieceAnswer {
	w.mu.Lock()
	sent, known := w.requests[p.ID]
	var origins []string
	var foreign []string
	gone := false
	for _, handle := range p.InputList {
		input, held := w.results[handle]
		if !held || time.Now().After(input.expires) {
			gone = true
			continue
		}
		if input.piece.ID != p.ID {
			foreign = append(foreign, input.piece.ID)
		}
		origins = append(origins, input.origins...)
	}
	if p.Key != "" {
		origins = []string{p.Key}
	}
	handle := fmt.Sprintf("%s/%012x", e.address(), rand.Uint64()>>16)
	if !gone {
		slices.Sort(origins)
		w.results[handle] = &result{piece: p, origins: slices.Compact(origins), expires: time.Now().Add(time.Minute)}
	}
	w.mu.Unlock()
	switch {
	case gone:
		return pieceAnswer{Reason: "gone"}
	case !known:
		w.breach("UNASKED", "%s is asked for a piece of %s, which no client sent", e.id, p.ID)
	case p.Key != "" && p.Key != sent.key:
		w.breach("UNASKED", "%s is asked for a piece of %s with the key %s instead of %s", e.id, p.ID, p.Key, sent.key)
	}
	if len(foreign) > 0 {
		w.breach("MIXED", "piece %d of stage %d of request %s is given results of %s as inputs at %s",
			p.Segment, p.Phase, p.ID, slices.Compact(foreign), e.id)
	}
	return pieceAnswer{Handle: handle}
}

// answerStream runs a request at a model engine.
func (e *engine) answerStream(c *engineConn, r *http.Request, _ []byte) error {
	id := r.Header.Get(headerAttempt)
	origins, gone := e.w.fetchInputs(e, r)
	if gone {
		return c.answer(r, http.StatusConflict, http.Header{headerNotRun: {"1"}}, nil)
	}
	e.w.checkRun(e, r)
	time.Sleep(prefillTime)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, id, headerStamp, e.stamp())
	for n := 1; n <= eventCount && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s made from %s by %s\n\n", n, id, strings.Join(origins, ","), e.version)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(eventTime)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err
}

// fetchInputs fetches the results that a request names and returns what they were made from.
func (w *world) fetchInputs(e *engine, r *http.Request) (origins []string, gone bool) {
	id := r.Header.Get(headerAttempt)
	var foreign []string
	w.mu.Lock()
	for handle := range strings.SplitSeq(r.Header.Get(headerInputs), ",") {
		input, held := w.results[handle]
		switch {
		case handle == "":
		case !held || time.Now().After(input.expires):
			gone = true
		default:
			origins = append(origins, input.origins...)
			if input.piece.ID != id {
				foreign = append(foreign, input.piece.ID)
			}
		}
	}
	w.mu.Unlock()
	slices.Sort(origins)
	if !gone && len(foreign) > 0 {
		slices.Sort(foreign)
		w.breach("MIXED", "request %s is given results of %s as inputs at %s", id, slices.Compact(foreign), e.id)
	}
	return slices.Compact(origins), gone
}
