package guarder

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// writePair writes a new self-signed certificate with the given serial number and its private key.
func writePair(t *testing.T, certFile, keyFile string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
}

// A certificate is renewed while the entry runs, once with an invalid key file. Handshakes must never fail: a
// valid new pair is used after the check interval, an invalid one leaves the previous pair in use, and each
// change logs one line.
func TestCertificateReloadsChangedFiles(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	core, logs := observer.New(zap.DebugLevel)
	var clock atomic.Int64
	cfg := Config{
		Certificate: CertificateConfig{CertFile: certFile, KeyFile: keyFile},
		Log:         zap.New(core),
		Now:         func() time.Time { return time.Unix(clock.Load(), 0) },
	}
	_, err := Open(cfg)
	var certErr *CertificateError
	require.ErrorAs(t, err, &certErr)

	writePair(t, certFile, keyFile, 1)
	server := open(t, cfg)
	require.Equal(t, int64(1), serial(t, server))

	writePair(t, certFile, keyFile, 2)
	require.Equal(t, int64(1), serial(t, server), "files checked before the interval")
	clock.Add(10)
	require.Equal(t, int64(2), serial(t, server))

	require.NoError(t, os.WriteFile(keyFile, []byte("half a key"), 0o600))
	clock.Add(10)
	require.Equal(t, int64(2), serial(t, server))

	writePair(t, certFile, keyFile, 3)
	clock.Add(10)
	require.Equal(t, int64(3), serial(t, server))
	clock.Add(10)
	require.Equal(t, int64(3), serial(t, server))

	require.Equal(t, 3, logs.Len())
	require.Equal(t, 1, logs.FilterMessageSnippet("not reloaded").Len())
}

// serial sends a request over TLS and returns the serial number of the server's certificate.
func serial(t *testing.T, server *Server) int64 {
	t.Helper()
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{InsecureSkipVerify: true}, // self-signed by this test
		ForceAttemptHTTP2: true,
	}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("https://" + server.Address() + "/")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, 2, resp.ProtoMajor)
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64()
}
