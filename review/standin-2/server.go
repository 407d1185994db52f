package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in for one endpoint: it serves one request at a time on a channel.
type server struct {
	w       *world
	id      string
	service string
	address string
	born    time.Time
	// handle answers one request and reports whether the channel is kept.
	handle func(c *channel, r *http.Request, body []byte) bool

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	down  bool
}

// channel is one connection to a server.
type channel struct {
	net.Conn
	br *bufio.Reader
}

func newServer(w *world, id, service string) *server {
	return &server{w: w, id: id, service: service, conns: make(map[net.Conn]bool)}
}

// start listens, registers the server and renews its record with each heartbeat.
func (s *server) start() error {
	if err := s.listen("127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-s.w.ctx.Done():
				s.crash()
				return
			case <-tick.C:
				s.mu.Lock()
				down := s.down
				s.mu.Unlock()
				if !down {
					s.w.register(s.id, s.service, s.address, "in_service", s.born)
				}
			}
		}
	}()
	return nil
}

func (s *server) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.address, s.born, s.down = ln, ln.Addr().String(), time.Now(), false
	s.mu.Unlock()
	s.w.register(s.id, s.service, s.address, "in_service", s.born)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// crash closes the listener and all channels.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	_ = s.ln.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	clear(s.conns)
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	c := &channel{Conn: conn, br: bufio.NewReader(conn)}
	for {
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get("Geraniumline-Expect-Instance"); want != "" && want != s.id {
			if _, err := c.Write(answer(r, "421 Misdirected Request", "Geraniumline-Instance-Id: "+s.id+"\r\n", nil)); err != nil {
				return
			}
			continue
		}
		if !s.handle(c, r, body) {
			return
		}
	}
}

// answer returns a whole answer with a length. It echoes the id of the request if there is one.
func answer(r *http.Request, status, header string, body []byte) []byte {
	head := "HTTP/1.1 " + status + "\r\n" + header
	if id := r.Header.Get("Geraniumline-Attempt-Id"); id != "" {
		head += "Geraniumline-Attempt-Id: " + id + "\r\n"
	}
	head += "Keep-Alive: timeout=5\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body...)
}
