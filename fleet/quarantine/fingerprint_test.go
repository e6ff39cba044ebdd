package quarantine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/quarantine"
)

func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := quarantine.FingerprintOf("w", "POST", "a.example", "/p/?q=1", []byte("body"))
	require.Equal(t, base, quarantine.FingerprintOf("w", "POST", "a.example", "/p/?q=1", []byte("body")))
	for name, other := range map[string]quarantine.Fingerprint{
		"workspace":        quarantine.FingerprintOf("v", "POST", "a.example", "/p/?q=1", []byte("body")),
		"method":           quarantine.FingerprintOf("w", "PUT", "a.example", "/p/?q=1", []byte("body")),
		"host":             quarantine.FingerprintOf("w", "POST", "b.example", "/p/?q=1", []byte("body")),
		"query":            quarantine.FingerprintOf("w", "POST", "a.example", "/p/?q=2", []byte("body")),
		"body":             quarantine.FingerprintOf("w", "POST", "a.example", "/p/?q=1", []byte("bodies")),
		"no body":          quarantine.FingerprintOf("w", "POST", "a.example", "/p/?q=1", nil),
		"other boundaries": quarantine.FingerprintOf("wP", "OST", "a.example", "/p/?q=1", []byte("body")),
		"path in the body": quarantine.FingerprintOf("w", "POST", "a.example", "/p/", []byte("?q=1body")),
	} {
		require.NotEqual(t, base, other, name)
	}
}
