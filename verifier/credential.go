// Package verifier makes and checks the credentials of callers and operators, and counts the wrong
// ones that each address sends.
//
// Credentials are generated tokens of 256 random bits, never passwords that a person has chosen. So a
// plain SHA-256 is enough to store them by: guessing a token from its hash is as hard as guessing the
// token, and a slow password hash would only let a flood of wrong credentials eat the processor.
package verifier

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

// credentialBytes is the entropy of a generated credential.
const credentialBytes = 32

// GenerateCredential returns a new credential: 256 random bits as unpadded base64url.
func GenerateCredential() string {
	token := make([]byte, credentialBytes)
	_, _ = rand.Read(token) // crypto/rand never returns an error
	return base64.RawURLEncoding.EncodeToString(token)
}

// GenerateKey returns a new shared key for peers: 256 random bits as hex.
func GenerateKey() string {
	key := make([]byte, credentialBytes)
	_, _ = rand.Read(key)
	return hex.EncodeToString(key)
}

// HashCredential returns the SHA-256 of a generated credential in lower-case hex, the form that
// settings and contracts hold.
func HashCredential(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// Matches tells whether the credential has the hash (64 hex digits of either case). It takes the same
// time wherever they differ. An empty credential and a malformed hash match nothing.
func Matches(credential, hash string) bool {
	want, err := hex.DecodeString(hash)
	if err != nil || len(want) != sha256.Size || credential == "" {
		return false
	}
	sum := sha256.Sum256([]byte(credential))
	return subtle.ConstantTimeCompare(sum[:], want) == 1
}
