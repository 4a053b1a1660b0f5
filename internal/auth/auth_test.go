package auth

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// Guards against accepting a prefix of a key, an empty key or another scheme.
func TestAuthenticateRefusesInvalidKeys(t *testing.T) {
	keys := NewKeys(map[string]string{"ops": "0123456789abcdef"})
	for header, want := range map[string]string{
		"Bearer 0123456789abcdef": "ops", "Bearer 0123456789abcde": "", "Bearer ": "", "": "", "Basic 0123456789abcdef": "",
	} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", header)
		name, err := keys.Authenticate(r)
		require.Equal(t, want, name, header)
		require.Equal(t, want == "", failure.Is(err, failure.Unauthenticated), header)
	}
}
