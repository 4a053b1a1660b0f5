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
	// maxTokenBytes bounds a resume token before it is decoded.
	maxTokenBytes = 2048
	macBytes      = sha256.Size
)

// ResumeToken says where the generation of a request runs, so that any daemon
// can resume it without reading the store. Offset is the first offset that the
// holder has not received when the token was issued; a later Last-Event-ID
// moves it forward.
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
	// Permit, Fingerprint and PromptTokens let the daemon that resumes register the
	// request with the pool's owner.
	Permit       uint64 `json:"q"`
	Fingerprint  uint64 `json:"f"`
	PromptTokens int    `json:"n"`
}

// Signer signs and verifies resume tokens. It is safe for concurrent use.
type Signer struct{ key []byte }

// NewSigner returns a Signer for the key that all daemons share.
func NewSigner(key string) *Signer { return &Signer{key: []byte(key)} }

// Sign returns the text form of the token.
func (s *Signer) Sign(t ResumeToken) string {
	body, err := json.Marshal(t)
	if err != nil {
		panic(err) // a struct of strings and integers always encodes
	}
	return base64.RawURLEncoding.EncodeToString(append(s.mac(body), body...))
}

// Verify returns the token if this system signed it for the given client account.
func (s *Signer) Verify(text, account string) (ResumeToken, error) {
	var t ResumeToken
	if len(text) > maxTokenBytes {
		return t, failure.NotRun(failure.InvalidResumeToken, "resume token has %d bytes, at most %d are allowed", len(text), maxTokenBytes)
	}
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimSpace(text))
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
