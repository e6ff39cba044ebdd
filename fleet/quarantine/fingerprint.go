package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"hibiscuslb/fleet"
)

// A Fingerprint identifies a request over all attempts at it. Its headers and the ID of the
// attempt differ each time, so it covers what the caller asks for and who the caller is. The
// empty fingerprint stands for a request whose content is not known.
type Fingerprint string

// fingerprintBytes is the length of the hash. No caller can find a request with the
// fingerprint of another one, and the workspace is part of the hash.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of a request. The workspace is empty on public
// routes; uri is the path with the query; body is in segments.
func FingerprintOf(workspace fleet.WorkspaceID, method, host, uri string, body ...[]byte) Fingerprint {
	h := sha256.New()
	for _, field := range []string{string(workspace), method, host, uri} {
		// The lengths keep the fields apart. Writing to a hash never fails.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = h.Write([]byte(field))
	}
	for _, segment := range body {
		_, _ = h.Write(segment)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
