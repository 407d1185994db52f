package guarder

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"geraniumline/meter"
	"geraniumline/verifier"
)

// Defaults for the limits that Config leaves at zero.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 20 * time.Second
	defaultWriteTimeout  = 20 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultMaxBodyBytes  = 1 << 20
	// defaultMaxTotalBodyBytes allows 64 bodies of the default limit, or thousands of typical size.
	defaultMaxTotalBodyBytes = 64 << 20
)

// maxHeaderBytes limits the request line and headers; net/http allows 4 KB more.
const maxHeaderBytes = 16 << 10

// maxStreams limits the concurrent requests on one HTTP/2 connection.
const maxStreams = 64

// UnreadBodyTimeout bounds the time in which net/http reads what a handler has left of a request's body. The connection can be
// used again if the body is complete by then, and a caller that still sends reads the response before the connection is closed.
const UnreadBodyTimeout = 100 * time.Millisecond

// maxStreamBytes and maxConnectionBytes limit what is received on an HTTP/2 stream and connection and not read yet.
const (
	maxStreamBytes     = 64 << 10
	maxConnectionBytes = 128 << 10
)

// Config configures one HTTP socket. Limits and timeouts of zero take the defaults above.
type Config struct {
	ListenConfig
	// Certificate enables TLS if its files are named.
	Certificate CertificateConfig
	// Handler serves the requests. A response with status 401 counts as a wrong credential.
	Handler http.Handler
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes int64
	// MaxTotalBodyBytes limits the sum of the bodies of all requests in flight as they were announced, half of it for one
	// address. It is raised to at least
	// four times MaxBodyBytes, so that one body always fits.
	MaxTotalBodyBytes int64
	// Admission bounds the memory of all requests and their bodies; nil bounds nothing. Sockets may share one.
	Admission *Admission
	// Verifier counts wrong credentials per address. Sockets may share one.
	Verifier *verifier.Verifier
	// Log receives a line for each reload of the certificate.
	Log *zap.Logger
	// Now is the clock for certificates and wrong credentials; nil means the system clock.
	Now func() time.Time

	// HeaderTimeout limits the time to read the headers of a request.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to read the body of a request.
	BodyTimeout time.Duration
	// WriteTimeout limits each write to a caller that reads slowly or not at all.
	WriteTimeout time.Duration
	// IdleTimeout limits the wait for the next request on a connection.
	IdleTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.HeaderTimeout = orDefault(c.HeaderTimeout, defaultHeaderTimeout)
	c.BodyTimeout = orDefault(c.BodyTimeout, defaultBodyTimeout)
	c.WriteTimeout = orDefault(c.WriteTimeout, defaultWriteTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, defaultIdleTimeout)
	c.MaxBodyBytes = orDefault(c.MaxBodyBytes, defaultMaxBodyBytes)
	c.MaxTotalBodyBytes = max(orDefault(c.MaxTotalBodyBytes, defaultMaxTotalBodyBytes), 4*c.MaxBodyBytes)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Verifier == nil {
		c.Verifier = verifier.New(verifier.Config{})
	}
	if c.Meter == nil {
		c.Meter = meter.New()
	}
	return c
}

func orDefault[T time.Duration | int64](value, def T) T {
	if value <= 0 {
		return def
	}
	return value
}

// Server is an HTTP server on one socket with the limits of its Config.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Open starts listening, so that an address in use is reported at once, but serves no request until Serve.
// Errors are *ListenError or *CertificateError.
func Open(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	server := &http.Server{
		Handler:           newGuard(cfg),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerStream:     maxStreamBytes,
			MaxReceiveBufferPerConnection: maxConnectionBytes,
		},
		// net/http logs a line for each failed handshake and each panic. A port scan would fill the log
		// with data chosen by the sender; connections are counted instead.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	if cfg.Certificate.CertFile != "" {
		cfg.Certificate.OnReload = reloadLogger(cfg)
		cert, err := newCertificate(cfg.Certificate, cfg.Now())
		if err != nil {
			return nil, err
		}
		server.TLSConfig = cert.tlsConfig(cfg.Now)
	}
	listener, err := Listen(cfg.ListenConfig)
	if err != nil {
		return nil, err
	}
	return &Server{listener: listener, http: server}, nil
}

// reloadLogger returns an OnReload function that logs each reload.
func reloadLogger(cfg Config) func(error) {
	log := cfg.Log.With(zap.String("socket", cfg.Socket), zap.String("certFile", cfg.Certificate.CertFile))
	return func(err error) {
		if err != nil {
			log.Warn("certificate not reloaded, previous one stays in use", zap.Error(err))
			return
		}
		log.Info("certificate reloaded")
	}
}

// Address returns the IP and port listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves requests until Shutdown or Close, and returns nil after either.
func (s *Server) Serve() error {
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Shutdown stops listening, closes idle connections and waits for the requests in flight until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close() // net/http closes the listener only if Serve has been called
	if err := s.http.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Close stops listening and closes all connections immediately.
func (s *Server) Close() error {
	_ = s.listener.Close()
	if err := s.http.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
