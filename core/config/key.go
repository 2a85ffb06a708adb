package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"mimosarelay/core/model"
)

const (
	keyPrefix  = "mr_"
	saltBytes  = 16
	hashPrefix = "sha256:"
)

// errHash does not contain the faulty text, because hashes must not reach
// logs.
var errHash = errors.New(`malformed hash; it must be "sha256:<salt of 32 hex digits>:<digest of 64 hex digits>" as written by "key grant"`)

// keyHash is a decoded Key.Hash.
type keyHash struct {
	salt   [saltBytes]byte
	digest [sha256.Size]byte
}

// NewKey returns a new key for the id, as callers present it:
// "mr_<id>_<secret>" with a secret of at least 128 random bits. The id lets a
// host find the hash to compare with in one step, whatever the number of
// workspaces.
func NewKey(id model.KeyID) string {
	return keyPrefix + string(id) + "_" + rand.Text()
}

// HashKey returns the value of Key.Hash for a key, with a random salt.
func HashKey(key string) (Hash, error) {
	if _, ok := keyID(key); !ok {
		return "", errors.New(`malformed key; it must be "mr_<id>_<secret>"`)
	}
	var salt [saltBytes]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return "", fmt.Errorf("reading random salt: %w", err)
	}
	return newHash(salt, key), nil
}

// opaquePrefix begins the ids of keys that the system did not generate. NewKey
// cannot produce such an id, because the digest part is longer than names that
// operators choose for keys.
const opaquePrefix = "opaque-"

// opaqueIDBytes is the number of digest bytes in the id of an opaque key.
const opaqueIDBytes = 20

// NewOpaqueKey returns the entry of a credential that the system did not
// generate, whose text has no form of its own. Its id is derived from the text,
// so that a host finds the entry to compare with in one step.
func NewOpaqueKey(text string) (Key, error) {
	var salt [saltBytes]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return Key{}, fmt.Errorf("reading random salt: %w", err)
	}
	return Key{ID: opaqueID(text), Hash: newHash(salt, text)}, nil
}

func opaqueID(text string) model.KeyID {
	sum := sha256.Sum256([]byte(opaquePrefix + text))
	return model.KeyID(opaquePrefix + hex.EncodeToString(sum[:opaqueIDBytes]))
}

func newHash(salt [saltBytes]byte, key string) Hash {
	d := digest(salt, key)
	return Hash(hashPrefix + hex.EncodeToString(salt[:]) + ":" + hex.EncodeToString(d[:]))
}

// Matches reports in constant time whether the hash belongs to the key.
func (k Key) Matches(key string) bool {
	h, err := parseHash(k.Hash)
	return err == nil && h.matches(key)
}

func (h *keyHash) matches(key string) bool {
	d := digest(h.salt, key)
	return subtle.ConstantTimeCompare(d[:], h.digest[:]) == 1
}

func digest(salt [saltBytes]byte, key string) [sha256.Size]byte {
	return sha256.Sum256(append(salt[:], key...))
}

func parseHash(s Hash) (*keyHash, error) {
	rest, ok := strings.CutPrefix(string(s), hashPrefix)
	if !ok {
		return nil, errHash
	}
	salt, digest, _ := strings.Cut(rest, ":")
	h := &keyHash{}
	if !fromHex(h.salt[:], salt) || !fromHex(h.digest[:], digest) {
		return nil, errHash
	}
	return h, nil
}

// fromHex fills all of dst.
func fromHex(dst []byte, s string) bool {
	if len(s) != hex.EncodedLen(len(dst)) {
		return false
	}
	_, err := hex.Decode(dst, []byte(s))
	return err == nil
}

// keyID returns the id in the text of a key. The secret contains no
// underscore, but the id may.
func keyID(key string) (model.KeyID, bool) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	i := strings.LastIndexByte(rest, '_')
	if !ok || i <= 0 || i == len(rest)-1 {
		return "", false
	}
	return model.KeyID(rest[:i]), true
}
