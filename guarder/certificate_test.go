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

// writePair writes a new self-signed certificate with the serial number, and its key.
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

// A certificate is renewed under a running entry, and once its new files are broken. Callers' handshakes
// never fail: a good new pair is used after the check interval, a broken one leaves the earlier pair in
// use, with one line in the log for each change.
func TestCertificateFollowsItsFiles(t *testing.T) {
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
	require.Equal(t, int64(1), serial(t, server), "not looked at before the interval")
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

// serial asks over TLS and returns the serial number of the certificate that it met.
func serial(t *testing.T, server *Server) int64 {
	t.Helper()
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{InsecureSkipVerify: true}, // self-signed, made by this test
		ForceAttemptHTTP2: true,
	}
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport}).Get("https://" + server.Address() + "/")
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, 2, answer.ProtoMajor)
	return answer.TLS.PeerCertificates[0].SerialNumber.Int64()
}
