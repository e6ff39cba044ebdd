// Package cache names blocks of key-value cache and tells when a block may be
// read.
//
// A block holds the cache of BlockTokens tokens of a prompt. Its key is a
// keyed hash over the workspace's secret, the model, the weight version and
// all of the prompt up to the block's end. Who lacks the secret can not name
// a workspace's blocks, and blocks of another weight version have other
// names, so neither can be read by mistake. Keys form a chain: a block is of
// use only together with all blocks before it.
//
// A block in a store goes through the states of a Table: reserved, then
// sealed, then freed. Only a sealed block is visible to readers. Each
// reservation has a generation of its own, so that a name used again is never
// taken for the block that a reader asked for; a reader compares generation
// and checksum of what arrived with what the seal said. A block that is
// pinned by a reader is freed when the last pin goes.
package cache

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/blake3"

	"hibiscuslb/fleet"
)

const (
	// BlockTokens is the length of a block.
	BlockTokens fleet.Tokens = 4096
	// TokenBytes is how many bytes of a prompt count as one token. Engines
	// cut prompts at the same places, so that keys agree.
	TokenBytes = 4
	// affinityPrefixBytes is the length of the prefix that identifies a conversation.
	affinityPrefixBytes = 1024
)

// A Key names a block.
type Key [32]byte

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText formats the key in hexadecimal digits.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the form that MarshalText writes.
func (k *Key) UnmarshalText(text []byte) error {
	n, err := hex.Decode(k[:], text)
	if err != nil {
		return fmt.Errorf("cache: bad key: %w", err)
	}
	if n != len(k) {
		return fmt.Errorf("cache: key of %d bytes, want %d", n, len(k))
	}
	return nil
}

// A Secret is what a workspace's block names are derived from.
type Secret [32]byte

// A Scope is what the blocks of a prompt belong to.
type Scope struct {
	Secret  Secret
	Model   fleet.ModelID
	Version fleet.WeightVersion
}

// BlockKeys returns the keys of all whole blocks of the prompt, first to last.
func (s Scope) BlockKeys(prompt []byte) []Key {
	const step = int(BlockTokens) * TokenBytes
	if len(prompt) < step {
		return nil
	}
	hasher := s.hasher()
	keys := make([]Key, 0, len(prompt)/step)
	for end := step; end <= len(prompt); end += step {
		write(hasher, prompt[end-step:end])
		var key Key
		hasher.Sum(key[:0])
		keys = append(keys, key)
	}
	return keys
}

func (s Scope) hasher() *blake3.Hasher {
	// NewKeyed fails only for keys of a wrong length.
	hasher, err := blake3.NewKeyed(s.Secret[:])
	if err != nil {
		panic(fmt.Sprintf("cache: keyed hash: %v", err))
	}
	writeField(hasher, []byte(s.Model))
	writeField(hasher, []byte(s.Version))
	return hasher
}

// writeField writes the field with its length before it, so that the border
// between two fields can not move.
func writeField(h *blake3.Hasher, field []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	write(h, length[:])
	write(h, field)
}

func write(h *blake3.Hasher, data []byte) {
	// A hash in memory never fails to take data.
	if _, err := h.Write(data); err != nil {
		panic(fmt.Sprintf("cache: hash: %v", err))
	}
}

// A AffinityHash identifies a conversation for routing. Turns of one conversation
// share it, and so do prompts that begin with the same shared file.
type AffinityHash uint64

// AffinityHashOf returns the root of a workspace's prompt.
func AffinityHashOf(workspace fleet.WorkspaceID, prompt []byte) AffinityHash {
	digest := xxhash.New()
	// Writing to the digest never fails.
	_, _ = digest.WriteString(string(workspace))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(prompt[:min(len(prompt), affinityPrefixBytes)])
	return AffinityHash(digest.Sum64())
}

// TokenCount returns how many tokens a prompt of n bytes has.
func TokenCount(n int) fleet.Tokens {
	return fleet.Tokens((n + TokenBytes - 1) / TokenBytes)
}

// DeriveSecret returns the secret that belongs to the name below a parent secret.
func DeriveSecret(parent Secret, name string) Secret {
	hasher := Scope{Secret: parent}.hasher()
	writeField(hasher, []byte(name))
	var secret Secret
	hasher.Sum(secret[:0])
	return secret
}

// HashCallerKey returns the hash under which a caller key is declared.
func HashCallerKey(key string) [32]byte { return blake3.Sum256([]byte(key)) }
