package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/rattanscale/rattanscale/internal/failure"
)

const (
	// maxResumeTokenBytes is the maximum length of an encoded resume token.
	maxResumeTokenBytes = 2048
	macBytes            = sha256.Size
)

// ResumeToken identifies the upstream that runs the generation of a request, so that any
// daemon can resume the stream without reading the store. Offset is the offset of the
// first token that the caller had not received when the resume token was issued; a later
// Last-Event-ID takes precedence.
type ResumeToken struct {
	Request string `json:"r"`
	// Attempt is the identifier under which the upstream runs the request.
	Attempt     string `json:"t"`
	Account     string `json:"a"`
	Service     string `json:"s"`
	Version     string `json:"v"`
	Pool        string `json:"p"`
	Upstream    string `json:"u"`
	Address     string `json:"d"`
	Incarnation string `json:"i"`
	Generation  string `json:"g"`
	Offset      int    `json:"o"`
	// Permit, Fingerprint and PromptTokens are needed by the resuming daemon to register
	// the request with the pool's owner.
	Permit       uint64 `json:"q"`
	Fingerprint  uint64 `json:"f"`
	PromptTokens int    `json:"n"`
}

// Signer signs and verifies resume tokens. It is safe for concurrent use.
type Signer struct{ key []byte }

// NewSigner returns a Signer. All daemons must use the same key.
func NewSigner(key string) *Signer { return &Signer{key: []byte(key)} }

// Sign returns the token in its encoded form with a signature.
func (s *Signer) Sign(t ResumeToken) string {
	body, err := json.Marshal(t)
	if err != nil {
		panic(err) // a struct of strings and integers can always be encoded
	}
	return base64.RawURLEncoding.EncodeToString(append(s.mac(body), body...))
}

// Verify decodes the token. It fails unless the token has a valid signature and was issued
// to the given client account.
func (s *Signer) Verify(encoded, account string) (ResumeToken, error) {
	var t ResumeToken
	if len(encoded) > maxResumeTokenBytes {
		return t, failure.NotRun(failure.InvalidResumeToken, "resume token has %d bytes, at most %d are allowed", len(encoded), maxResumeTokenBytes)
	}
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimSpace(encoded))
	if err != nil || len(raw) <= macBytes {
		return t, failure.NotRun(failure.InvalidResumeToken, "resume token is malformed")
	}
	body := raw[macBytes:]
	if !hmac.Equal(raw[:macBytes], s.mac(body)) {
		return t, failure.NotRun(failure.InvalidResumeToken, "resume token has an invalid signature")
	}
	if err := json.Unmarshal(body, &t); err != nil {
		return t, failure.NotRun(failure.InvalidResumeToken, "resume token is malformed")
	}
	if t.Account != account {
		return ResumeToken{}, failure.NotRun(failure.Forbidden, "the stream belongs to another client account")
	}
	return t, nil
}

func (s *Signer) mac(body []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(body)
	return h.Sum(nil)
}
