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

// errMalformedHash does not contain the malformed text, because hashes must not
// be logged.
var errMalformedHash = errors.New(`malformed hash; it must be "sha256:<salt of 32 hex digits>:<digest of 64 hex digits>" as written by "key grant"`)

// keyHash is the decoded form of a Hash.
type keyHash struct {
	salt   [saltBytes]byte
	digest [sha256.Size]byte
}

// NewKey generates the text of a key in the form that callers present:
// "mr_<id>_<secret>", with a secret of at least 128 random bits. The id lets a
// host look up the stored hash directly, so that authentication takes the same
// time for any number of workspaces.
func NewKey(id model.KeyID) string {
	return keyPrefix + string(id) + "_" + rand.Text()
}

// HashKey returns the hash of a key with a random salt, for use as Key.Hash.
func HashKey(key string) (Hash, error) {
	if _, ok := keyID(key); !ok {
		return "", errors.New(`malformed key; it must be "mr_<id>_<secret>"`)
	}
	var salt [saltBytes]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return "", fmt.Errorf("failed to generate the salt of a key: %w", err)
	}
	return newHash(salt, key), nil
}

// opaquePrefix is the prefix of the ids of keys that NewKey did not generate.
// These ids do not collide with the ids of generated keys, because their digest
// is longer than the names that operators choose for keys.
const opaquePrefix = "opaque-"

// opaqueIDBytes is the number of digest bytes in the id of an opaque key.
const opaqueIDBytes = 20

// NewOpaqueKey returns the Key for a credential that NewKey did not generate and
// that has no particular format. The id is derived from a digest of the text, so
// that a host can look up the stored hash directly.
func NewOpaqueKey(text string) (Key, error) {
	var salt [saltBytes]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return Key{}, fmt.Errorf("failed to generate the salt of a key: %w", err)
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

// Matches reports whether k.Hash is the hash of the key, using a constant-time
// comparison.
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
		return nil, errMalformedHash
	}
	salt, digest, _ := strings.Cut(rest, ":")
	h := &keyHash{}
	if !decodeHex(h.salt[:], salt) || !decodeHex(h.digest[:], digest) {
		return nil, errMalformedHash
	}
	return h, nil
}

// decodeHex decodes s into dst and reports whether s is valid and has exactly
// the length of dst.
func decodeHex(dst []byte, s string) bool {
	if len(s) != hex.EncodedLen(len(dst)) {
		return false
	}
	_, err := hex.Decode(dst, []byte(s))
	return err == nil
}

// keyID extracts the id from the text of a key. The secret does not contain
// underscores, but the id may.
func keyID(key string) (model.KeyID, bool) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	i := strings.LastIndexByte(rest, '_')
	if !ok || i <= 0 || i == len(rest)-1 {
		return "", false
	}
	return model.KeyID(rest[:i]), true
}
