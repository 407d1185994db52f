package starter

import (
	"context"
	"encoding/json"
	"maps"
	"os"

	"geraniumline/operatorserver"
	"geraniumline/verifier"
)

// writeSettings writes an entry's settings file.
func (f *Fleet) writeSettings(entry *Entry) error {
	var seeds []string
	for _, other := range f.entries {
		seeds = append(seeds, other.PeerAddress)
	}
	settings := map[string]any{
		"name":            entry.name,
		"zone":            entry.Zone,
		"region":          "region-1",
		"callerAddress":   entry.CallerAddress,
		"operatorAddress": entry.OperatorAddress,
		"peerAddress":     entry.PeerAddress,
		"seedPeers":       seeds,
		"logUrl":          "http://" + f.log.address,
		"vmsUrl":          "http://" + f.vms.address,
		"weightsUrl":      "http://" + f.weights.address,
		"sharedKey":       f.sharedKey,
		"operators": []map[string]string{
			{"name": operatorName, "credentialSha256": verifier.HashCredential(f.operator)},
		},
	}
	maps.Copy(settings, f.cfg.Settings)
	if f.cfg.EntrySettings != nil {
		overrides, err := f.cfg.EntrySettings(f, entry)
		if err != nil {
			return err
		}
		maps.Copy(settings, overrides)
	}
	data, err := json.MarshalIndent(settings, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(entry.settings, data, 0o600)
}

// operatorCredential authenticates the fleet's operator.
type operatorCredential struct{ credential string }

// BasicAuth returns the credentials for the generated client.
func (o operatorCredential) BasicAuth(context.Context, operatorserver.OperationName) (operatorserver.BasicAuth, error) {
	return operatorserver.BasicAuth{Username: operatorName, Password: o.credential}, nil
}

// Operator returns a client of an entry's operator API.
func (f *Fleet) Operator(entry *Entry) (*operatorserver.Client, error) {
	return operatorserver.NewClient("http://"+entry.OperatorAddress, operatorCredential{credential: f.operator})
}
