package launcher

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"geraniumline/operatorserver"
)

// Environment variables that can be set instead of flags.
const (
	envOperatorAddress = "GERANIUMLINE_OPERATOR_ADDRESS"
	envCallerAddress   = "GERANIUMLINE_CALLER_ADDRESS"
	envUser            = "GERANIUMLINE_USER"
	envAccount         = "GERANIUMLINE_ACCOUNT"
	envCredentialFile  = "GERANIUMLINE_CREDENTIAL_FILE"
	envCAFile          = "GERANIUMLINE_CA_FILE"
)

// maxInputBytes bounds the input read from the standard input.
const maxInputBytes = 16 << 20

func connectionFlags(addressVariable, addressUsage string) []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    "address",
			Usage:   addressUsage + " as `IP:PORT`; more may follow, for when one does not answer",
			Sources: cli.EnvVars(addressVariable),
		},
		&cli.StringFlag{
			Name:    "credential-file",
			Usage:   "`FILE` with the credential",
			Sources: cli.EnvVars(envCredentialFile),
		},
		&cli.StringFlag{
			Name:    "ca-file",
			Usage:   "PEM `FILE` of the certificates to trust; with it, addresses are asked over TLS",
			Sources: cli.EnvVars(envCAFile),
		},
	}
}

func operatorFlags(extra ...cli.Flag) []cli.Flag {
	flags := connectionFlags(envOperatorAddress, "an entry's operator address")
	flags = append(flags, &cli.StringFlag{
		Name:    "user",
		Usage:   "operator's `NAME` in the settings",
		Sources: cli.EnvVars(envUser),
	})
	return append(flags, extra...)
}

// connection holds the addresses, credential and HTTP client with which a command calls entries.
type connection struct {
	addresses  []string
	user       string
	credential string
	client     *http.Client
	scheme     string
}

func (a *app) connect(cmd *cli.Command, userFlag string) (*connection, error) {
	for _, name := range []string{"address", userFlag, "credential-file"} {
		if !cmd.IsSet(name) {
			return nil, &UsageError{Message: fmt.Sprintf("--%s is not given, nor its environment variable", name), Command: cmd.FullName()}
		}
	}
	credential, err := a.readInput(cmd.String("credential-file"))
	if err != nil {
		return nil, &UsageError{Message: fmt.Sprintf("--credential-file: %v", err)}
	}
	c := &connection{
		addresses:  cmd.StringSlice("address"),
		user:       cmd.String(userFlag),
		credential: strings.TrimSpace(string(credential)),
		scheme:     "http",
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	// A proxy from the environment would send the credential to a host that isn't an entry.
	transport.Proxy = nil
	if file := cmd.String("ca-file"); file != "" {
		pool, err := readCertPool(file)
		if err != nil {
			return nil, &UsageError{Message: fmt.Sprintf("--ca-file: %v", err)}
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		c.scheme = "https"
	}
	c.client = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return c, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func readCertPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("holds no certificate")
	}
	return pool, nil
}

// readInput reads a file; "-" reads the standard input.
func (a *app) readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(a.cfg.Stdin, maxInputBytes))
	}
	return os.ReadFile(file)
}

// BasicAuth returns the operator's credential for the generated client.
func (c *connection) BasicAuth(context.Context, operatorserver.OperationName) (operatorserver.BasicAuth, error) {
	return operatorserver.BasicAuth{Username: c.user, Password: c.credential}, nil
}

func (c *connection) operatorClient(address string) (*operatorserver.Client, error) {
	return operatorserver.NewClient(c.scheme+"://"+address, c, operatorserver.WithClient(c.client))
}

// UnreachableError reports that no address responded.
type UnreachableError struct {
	Addresses []string
	Err       error // of the last address
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry answers at %s: %v", strings.Join(e.Addresses, ", "), e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RefusedError reports that an entry refused an operator's call.
type RefusedError struct {
	Address string
	Failure operatorserver.Failure
}

func (e *RefusedError) Error() string {
	lines := append([]string{fmt.Sprintf("%s refused: %s (%s)", e.Address, e.Failure.Message, e.Failure.Code)}, e.Failure.Faults...)
	return strings.Join(lines, "\n  ")
}

// callAny makes a call to one address after another until one responds. Use it only for calls that are read-only or
// idempotent.
func callAny[T any](ctx context.Context, c *connection, call func(*operatorserver.Client) (T, error)) (T, error) {
	var zero T
	var lastErr error
	for _, address := range c.addresses {
		client, err := c.operatorClient(address)
		if err != nil {
			return zero, &UsageError{Message: err.Error()}
		}
		answer, err := call(client)
		if err == nil {
			return answer, nil
		}
		if refused := refusalError(address, err); refused != nil {
			return zero, refused
		}
		if ctx.Err() != nil {
			return zero, ctx.Err()
		}
		lastErr = err
	}
	return zero, &UnreachableError{Addresses: c.addresses, Err: lastErr}
}

// refusalError converts an entry's refusal to a RefusedError. It returns nil if the call failed in another way.
func refusalError(address string, err error) error {
	var failure *operatorserver.FailureStatusCode
	if !errors.As(err, &failure) {
		return nil
	}
	return &RefusedError{Address: address, Failure: failure.Response}
}
