// Package cache names blocks of key-value cache and keeps track of which blocks
// may be read.
//
// A block holds the cache of BlockTokens tokens of a prompt. Its key is a keyed
// hash of the model, the weight version and the whole prompt up to the end of the
// block; the hash key is the workspace's secret. Without the secret the keys of a
// workspace cannot be computed, and the keys of different weight versions differ,
// so that no block of another workspace or version is read by mistake. The keys
// of a prompt form a chain: a block is usable only together with all blocks
// before it.
//
// A Table holds the state of the blocks in a store. A block is first reserved,
// then sealed, then freed; readers see sealed blocks only. Each reservation has
// its own generation, so that a reader can tell apart two blocks that were stored
// under the same key. A reader compares the generation and checksum of the data
// that arrived with those in the seal. A freed block that is pinned by readers is
// removed with the last pin.
//
// The package is used by hibiscusd and its tools. For hibiscusfront, package plan
// tracks the caches of engines, and package cachestore the cache stores.
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
	// BlockTokens is the number of tokens in a block.
	BlockTokens fleet.Tokens = 4096
	// TokenBytes is the number of prompt bytes that count as one token. Engines
	// split prompts at the same positions, so that keys agree.
	TokenBytes = 4
	// affinityPrefixBytes is the length of the prompt prefix that identifies a
	// conversation.
	affinityPrefixBytes = 1024
)

// Key identifies a block.
type Key [32]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler. It formats the key in
// hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	n, err := hex.Decode(k[:], text)
	if err != nil {
		return fmt.Errorf("cache: parse key %q: %w", text, err)
	}
	if n != len(k) {
		return fmt.Errorf("cache: parse key %q: got %d bytes, want %d", text, n, len(k))
	}
	return nil
}

// Secret is the hash key of a workspace's block keys.
type Secret [32]byte

// Scope identifies the workspace, model and weight version that the blocks of a
// prompt belong to.
type Scope struct {
	Secret  Secret
	Model   fleet.ModelID
	Version fleet.WeightVersion
}

// BlockKeys returns the keys of all complete blocks of the prompt, in order.
func (s Scope) BlockKeys(prompt []byte) []Key {
	const step = int(BlockTokens) * TokenBytes
	if len(prompt) < step {
		return nil
	}
	hasher := s.hasher()
	keys := make([]Key, 0, len(prompt)/step)
	for end := step; end <= len(prompt); end += step {
		mustWrite(hasher, prompt[end-step:end])
		var key Key
		hasher.Sum(key[:0])
		keys = append(keys, key)
	}
	return keys
}

func (s Scope) hasher() *blake3.Hasher {
	// NewKeyed fails only if the key has the wrong length.
	hasher, err := blake3.NewKeyed(s.Secret[:])
	if err != nil {
		panic(fmt.Sprintf("cache: create keyed hash: %v", err))
	}
	writeField(hasher, []byte(s.Model))
	writeField(hasher, []byte(s.Version))
	return hasher
}

// writeField writes the field preceded by its length, so that two different pairs
// of adjacent fields never give the same input.
func writeField(h *blake3.Hasher, field []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	mustWrite(h, length[:])
	mustWrite(h, field)
}

func mustWrite(h *blake3.Hasher, data []byte) {
	// Writing to a hash in memory never fails.
	if _, err := h.Write(data); err != nil {
		panic(fmt.Sprintf("cache: write to hash: %v", err))
	}
}

// AffinityHash identifies a conversation for routing. All turns of a conversation
// whose first prompt has at least 1024 bytes (affinityPrefixBytes) have the same hash,
// and so do prompts that start with the same shared file of at least that length.
type AffinityHash uint64

// AffinityHashOf returns the affinity hash of a prompt of the workspace.
func AffinityHashOf(workspace fleet.WorkspaceID, prompt []byte) AffinityHash {
	digest := xxhash.New()
	// Writing to the digest never fails.
	_, _ = digest.WriteString(string(workspace))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(prompt[:min(len(prompt), affinityPrefixBytes)])
	return AffinityHash(digest.Sum64())
}

// TokenCount returns the number of tokens in a prompt of n bytes.
func TokenCount(n int) fleet.Tokens {
	return fleet.Tokens((n + TokenBytes - 1) / TokenBytes)
}

// DeriveSecret derives the secret for a name from a parent secret.
func DeriveSecret(parent Secret, name string) Secret {
	hasher := Scope{Secret: parent}.hasher()
	writeField(hasher, []byte(name))
	var secret Secret
	hasher.Sum(secret[:0])
	return secret
}

// HashCallerKey returns the hash under which a caller's key is declared.
func HashCallerKey(key string) [32]byte { return blake3.Sum256([]byte(key)) }
