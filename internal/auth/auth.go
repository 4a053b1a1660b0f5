// Package auth maps bearer keys to the names of operators and client accounts.
package auth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// Keys is an immutable set of bearer keys. It is safe for concurrent use.
//
// Bearer keys are looked up by their HMAC under a random key of the process, so that
// the time of the look-up reveals nothing about a stored key.
type Keys struct {
	hmacKey       []byte
	ownerByDigest map[[sha256.Size]byte]string
}

// NewKeys returns the set for a map from owner to bearer key.
func NewKeys(keys map[string]string) *Keys {
	k := &Keys{hmacKey: make([]byte, sha256.Size), ownerByDigest: make(map[[sha256.Size]byte]string, len(keys))}
	_, _ = rand.Read(k.hmacKey) // never fails
	for name, key := range keys {
		k.ownerByDigest[k.digest(key)] = name
	}
	return k
}

func (k *Keys) digest(key string) (sum [sha256.Size]byte) {
	h := hmac.New(sha256.New, k.hmacKey)
	h.Write([]byte(key))
	h.Sum(sum[:0])
	return sum
}

// Authenticate returns the owner of the bearer key in the request's Authorization
// header. Its error is failure.Unauthenticated.
func (k *Keys) Authenticate(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", failure.NotRun(failure.Unauthenticated, "the request has no bearer key")
	}
	name, ok := k.ownerByDigest[k.digest(key)]
	if !ok {
		return "", failure.NotRun(failure.Unauthenticated, "the bearer key is not valid")
	}
	return name, nil
}
