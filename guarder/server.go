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

// The bounds of a socket that Config leaves at zero.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 20 * time.Second
	defaultWriteTimeout  = 20 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultMaxBodyBytes  = 1 << 20
	// defaultMaxTotalBodyBytes holds 64 bodies of the default bound, or thousands of ordinary ones.
	defaultMaxTotalBodyBytes = 64 << 20
)

// maxHeaderBytes bounds a request's line and headers; net/http adds 4 KB of its own.
const maxHeaderBytes = 16 << 10

// maxStreams bounds the requests at a time on one HTTP/2 connection.
const maxStreams = 64

// Config says how one HTTP socket is opened.
type Config struct {
	ListenConfig
	// Certificate serves TLS where its files are named.
	Certificate CertificateConfig
	// Handler answers the requests. One that it answers with 401 counts as a wrong credential.
	Handler http.Handler
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxTotalBodyBytes bounds the sum of the bodies whose requests are not yet answered. It is raised to
	// four times MaxBodyBytes where it is less, so that one body always fits.
	MaxTotalBodyBytes int64
	// Verifier counts wrong credentials by address. Sockets may share one.
	Verifier *verifier.Verifier
	// Log gets a line when the certificate changes.
	Log *zap.Logger
	// Now is the clock for certificates and wrong credentials; nil takes the system's.
	Now func() time.Time

	// HeaderTimeout bounds the reading of a request's headers.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the reading of a request's body.
	BodyTimeout time.Duration
	// WriteTimeout bounds each writing to a caller that reads slowly or not at all.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
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

// Server is one guarded HTTP socket.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Open listens, so that an address in use is known at once, but answers nothing until Serve.
// It fails with a *ListenError or a *CertificateError.
func Open(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	server := &http.Server{
		Handler:           newGuard(cfg),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		// net/http writes a line for each failed handshake and each panic. A port scan would fill the
		// log with what the sender chose; the connections are counted instead.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	if cfg.Certificate.CertFile != "" {
		cfg.Certificate.OnReload = logChange(cfg)
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

func logChange(cfg Config) func(error) {
	log := cfg.Log.With(zap.String("socket", cfg.Socket), zap.String("certFile", cfg.Certificate.CertFile))
	return func(err error) {
		if err != nil {
			log.Warn("certificate not reloaded, the earlier one stays", zap.Error(err))
			return
		}
		log.Info("certificate reloaded")
	}
}

// Address returns the IP and port listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests until Shutdown or Close. It returns nil after either.
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

// Shutdown stops listening, closes idle connections and waits for the requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close() // net/http knows of the listener only once Serve has run
	if err := s.http.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Close cuts all connections.
func (s *Server) Close() error {
	_ = s.listener.Close()
	if err := s.http.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
