package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

// macBytes is the length of the authentication code of a token.
const macBytes = 16

var errToken = errors.New("malformed or forged answer token")

// token identifies a kept answer. It is authenticated with the key of the deployment, so that a caller cannot name
// the answer of another account.
type token struct {
	Agent   ident.ProcessID `json:"a"`
	Boot    ident.Boot      `json:"b"`
	Request ident.RequestID `json:"r"`
	Account ident.AccountID `json:"c"`
	Service ident.Service   `json:"s"`
}

func sealToken(key []byte, t token) string {
	b, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(mac(key, b), b...))
}

func openToken(key []byte, s string) (t token, err error) {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) < macBytes {
		return t, errToken
	}
	if !hmac.Equal(b[:macBytes], mac(key, b[macBytes:])) {
		return t, errToken
	}
	return t, errors.Wrap(json.Unmarshal(b[macBytes:], &t), "decode answer token")
}

func mac(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("answer token"))
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}
