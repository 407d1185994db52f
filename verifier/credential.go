// Package verifier generates and verifies the credentials of callers and operators, and throttles wrong credentials per
// address.
//
// Credentials are generated tokens of 256 random bits, never passwords chosen by a person. A plain SHA-256 is therefore
// enough to store them: finding a token from its hash is as hard as guessing the token, and a slow password hash would
// only let a flood of wrong credentials exhaust the CPU.
package verifier

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

// credentialBytes is the number of random bytes in a generated credential or key.
const credentialBytes = 32

// GenerateCredential returns a new credential: 256 random bits as unpadded base64url.
func GenerateCredential() string {
	token := make([]byte, credentialBytes)
	_, _ = rand.Read(token) // crypto/rand never returns an error
	return base64.RawURLEncoding.EncodeToString(token)
}

// GenerateKey returns a new shared key for peers: 256 random bits in lower-case hex.
func GenerateKey() string {
	key := make([]byte, credentialBytes)
	_, _ = rand.Read(key)
	return hex.EncodeToString(key)
}

// HashCredential returns the SHA-256 of a generated credential in lower-case hex, the form stored in settings and
// contracts.
func HashCredential(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// Matches reports whether the credential has the hash, given as 64 hex digits of either case. The hashes are compared in
// constant time. An empty credential and a malformed hash never match.
func Matches(credential, hash string) bool {
	want, err := hex.DecodeString(hash)
	if err != nil || len(want) != sha256.Size || credential == "" {
		return false
	}
	sum := sha256.Sum256([]byte(credential))
	return subtle.ConstantTimeCompare(sum[:], want) == 1
}
