package stream

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// Guards against resume tokens that are accepted for another account, with another key or
// after a byte was changed.
func TestResumeTokenIsBoundToAccountAndKey(t *testing.T) {
	signer := NewSigner("0123456789abcdef")
	token := ResumeToken{Request: "r1", Account: "guides", Upstream: "e1", Generation: "g1", Offset: 7}
	text := signer.Sign(token)

	got, err := signer.Verify(text, "guides")
	require.NoError(t, err)
	require.Equal(t, token, got)

	_, err = signer.Verify(text, "drivers")
	require.True(t, failure.Is(err, failure.Forbidden))
	_, err = NewSigner("another key 0123").Verify(text, "guides")
	require.True(t, failure.Is(err, failure.InvalidResumeToken))
	changed := []byte(text)
	changed[len(changed)/2] ^= 1
	_, err = signer.Verify(string(changed), "guides")
	require.Error(t, err)
}

func TestEventIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := EventID{Generation: rapid.StringMatching(`[a-z0-9:-]{1,20}`).Draw(t, "g"), Offset: rapid.IntRange(0, 1<<30).Draw(t, "o")}
		got, err := ParseEventID(id.String())
		if err != nil || got != id {
			t.Fatalf("%v became %v, %v", id, got, err)
		}
	})
}

// Guards against token text with line breaks that ends the data line early.
func TestWriterKeepsLineBreaksInsideData(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder, 0)
	require.NoError(t, w.WriteToken(EventID{"g1", 3}, "a\n\nevent: done"))
	require.Equal(t, "id: g1:3\nevent: token\ndata: {\"text\":\"a\\n\\nevent: done\"}\n\n", recorder.Body.String())
}

func FuzzVerify(f *testing.F) {
	signer := NewSigner("0123456789abcdef")
	f.Add(signer.Sign(ResumeToken{Account: "a"}))
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := signer.Verify(text, "guides"); err == nil {
			t.Fatal("accepted a token that was not signed for this account")
		}
	})
}

func FuzzParseEventID(f *testing.F) {
	f.Add("g:1")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseEventID(text)
		if err == nil && (id.Offset < 0 || id.Generation == "") {
			t.Fatalf("accepted %q as %v", text, id)
		}
	})
}
