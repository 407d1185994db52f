package guarder

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of a certificate's files for changes.
const checkInterval = 10 * time.Second

// CertificateError reports certificate files that can't be read or don't form a valid pair.
type CertificateError struct {
	CertFile string
	KeyFile  string
	Err      error
}

func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate %s with key %s: %v", e.CertFile, e.KeyFile, e.Err)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Err }

// CertificateConfig names the PEM files of a certificate and its private key.
type CertificateConfig struct {
	CertFile string
	KeyFile  string
	// OnReload is called after each reload attempt: with nil if it succeeded, otherwise with the error because
	// of which the previous certificate stays in use.
	OnReload func(err error)
}

// certificate is a key pair that is reloaded when its files change.
type certificate struct {
	cfg CertificateConfig

	mu        sync.Mutex
	pair      *tls.Certificate
	stamp     fileStamp
	lastCheck time.Time
}

// fileStamp holds the modification times and sizes of both files, to detect changes since they were read.
type fileStamp struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// newCertificate reads the files. It returns a *CertificateError if they are not a valid pair.
func newCertificate(cfg CertificateConfig, now time.Time) (*certificate, error) {
	c := &certificate{cfg: cfg, lastCheck: now}
	if err := c.read(); err != nil {
		return nil, err
	}
	return c, nil
}

// current returns the certificate to use at the given time, reloading it if its files have changed.
//
// A renewal writes two files, one after the other. A handshake between the two writes would read a
// certificate and a key that don't match. In that case the previous pair stays in use and the files are
// checked again after checkInterval, so callers see no failed handshake.
func (c *certificate) current(now time.Time) *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastCheck) < checkInterval {
		return c.pair
	}
	c.lastCheck = now
	stamp, err := c.stat()
	if err == nil && stamp == c.stamp {
		return c.pair
	}
	if err == nil {
		err = c.read()
	}
	if c.cfg.OnReload != nil {
		c.cfg.OnReload(err)
	}
	return c.pair
}

func (c *certificate) read() error {
	stamp, err := c.stat()
	if err != nil {
		return c.wrapError(err)
	}
	pair, err := tls.LoadX509KeyPair(c.cfg.CertFile, c.cfg.KeyFile)
	if err != nil {
		return c.wrapError(err)
	}
	c.pair = &pair
	c.stamp = stamp
	return nil
}

func (c *certificate) wrapError(err error) error {
	return &CertificateError{CertFile: c.cfg.CertFile, KeyFile: c.cfg.KeyFile, Err: err}
}

func (c *certificate) stat() (fileStamp, error) {
	cert, err := os.Stat(c.cfg.CertFile)
	if err != nil {
		return fileStamp{}, err
	}
	key, err := os.Stat(c.cfg.KeyFile)
	if err != nil {
		return fileStamp{}, err
	}
	return fileStamp{
		certTime: cert.ModTime(),
		keyTime:  key.ModTime(),
		certSize: cert.Size(),
		keySize:  key.Size(),
	}, nil
}

// tlsConfig returns a configuration that selects the current certificate at each handshake.
func (c *certificate) tlsConfig(now func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current(now()), nil
		},
	}
}
