package guarder

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the least time between two looks at the files of a certificate.
const checkInterval = 10 * time.Second

// CertificateError tells that a certificate's files can't be used.
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

// CertificateConfig names the files of a certificate.
type CertificateConfig struct {
	CertFile string
	KeyFile  string
	// OnReload is told of each reload: nil where it worked, else why the earlier certificate stays.
	OnReload func(err error)
}

// certificate is a certificate that follows its files.
type certificate struct {
	cfg CertificateConfig

	mu      sync.Mutex
	pair    *tls.Certificate
	stamp   fileStamp
	checked time.Time
}

// fileStamp tells whether either file has changed since it was read.
type fileStamp struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// newCertificate reads the files, and fails with a *CertificateError where they are no pair.
func newCertificate(cfg CertificateConfig, now time.Time) (*certificate, error) {
	c := &certificate{cfg: cfg, checked: now}
	if err := c.read(); err != nil {
		return nil, err
	}
	return c, nil
}

// at returns the certificate to use now.
//
// A renewal writes two files, one after the other. A handshake between the two would read a
// certificate and a key that don't match. Then the earlier pair stays in use and the files are looked at
// again after checkInterval, so callers see no failed handshake.
func (c *certificate) at(now time.Time) *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checked) < checkInterval {
		return c.pair
	}
	c.checked = now
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
		return c.failure(err)
	}
	pair, err := tls.LoadX509KeyPair(c.cfg.CertFile, c.cfg.KeyFile)
	if err != nil {
		return c.failure(err)
	}
	c.pair = &pair
	c.stamp = stamp
	return nil
}

func (c *certificate) failure(err error) error {
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

// tlsConfig serves whatever certificate is in use at each handshake.
func (c *certificate) tlsConfig(now func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.at(now()), nil
		},
	}
}
