package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"foxtaildock.example/dock/ident"
)

// Sizes of the parts of a token, in bytes.
const (
	saltBytes   = 16
	hashBytes   = sha256.Size
	secretBytes = 32
)

// ErrInvalidToken is returned for every invalid token, whatever is wrong with
// it, so that guessing reveals nothing.
var ErrInvalidToken = errors.New("missing or wrong token")

// Identity is what a valid token authenticates: a team, with the token's ID and
// role.
type Identity struct {
	Team    ident.Team
	TokenID string
	Role    Role
}

// String returns team/id, the form that audit rows use.
func (i Identity) String() string { return string(i.Team) + "/" + i.TokenID }

// NewToken makes a token for a team and the entry for it in the team's section.
// The error reports an invalid id or a failed read of random. The secret has
// 256 random bits, so dictionary attacks are impossible and one round of
// SHA-256 with a salt is enough.
func NewToken(random io.Reader, team ident.Team, id string, role Role) (string, TokenEntry, error) {
	if !isTokenID(id) {
		return "", TokenEntry{}, fmt.Errorf("token id %q must be of letters, digits, _, ~ and -", id)
	}
	secret := make([]byte, secretBytes)
	salt := make([]byte, saltBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", TokenEntry{}, fmt.Errorf("read random secret: %w", err)
	}
	if _, err := io.ReadFull(random, salt); err != nil {
		return "", TokenEntry{}, fmt.Errorf("read random salt: %w", err)
	}
	text := base64.RawURLEncoding.EncodeToString(secret)
	entry := TokenEntry{ID: id, Role: role, Salt: hex.EncodeToString(salt), SHA256: hex.EncodeToString(HashSecret(salt, text))}
	return fmt.Sprintf("%s/%s/%s", team, id, text), entry, nil
}

// HashSecret returns the hash that the document stores for the third part of a
// token: the SHA-256 of the salt followed by the text of the secret.
func HashSecret(salt []byte, secret string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return h.Sum(nil)
}

// HashBootstrap returns the SHA-256 of a bootstrap token in hexadecimal, the
// form in which the entry's settings contain it.
func HashBootstrap(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// MatchesBootstrapHash reports whether a token has the hash in the settings. It
// compares in constant time. An empty hash matches no token.
func MatchesBootstrapHash(token, hash string) bool {
	return hash != "" && subtle.ConstantTimeCompare([]byte(HashBootstrap(token)), []byte(strings.ToLower(hash))) == 1
}

// isTokenID reports whether id is a valid token ID.
func isTokenID(id string) bool {
	if id == "" || len(id) > MaxNameLength {
		return false
	}
	for _, r := range id {
		if !isNameRune(r) || r == ':' || r == '.' {
			return false
		}
	}
	return true
}

// Authenticate returns the identity of a token of the form team/id/secret, or
// ErrInvalidToken. It does the same work whichever part is wrong.
func (v *View) Authenticate(token string) (Identity, error) {
	team, rest, _ := strings.Cut(token, "/")
	id, secret, _ := strings.Cut(rest, "/")
	entry, found := v.token(ident.Team(team), id)
	salt, _ := hex.DecodeString(entry.Salt)
	want, _ := hex.DecodeString(entry.SHA256)
	have := HashSecret(salt, secret)
	match := subtle.ConstantTimeCompare(have, want) == 1
	if !found || !match {
		return Identity{}, ErrInvalidToken
	}
	return Identity{Team: ident.Team(team), TokenID: id, Role: entry.Role}, nil
}

// dummyToken is compared instead of a token that does not exist, so that the
// work is the same.
var dummyToken = TokenEntry{Salt: strings.Repeat("00", saltBytes), SHA256: strings.Repeat("00", hashBytes)}

// token returns the entry of a token, or dummyToken and false.
func (v *View) token(team ident.Team, id string) (TokenEntry, bool) {
	for _, t := range v.teams[team].Tokens {
		if t.ID == id {
			return t, true
		}
	}
	return dummyToken, false
}
