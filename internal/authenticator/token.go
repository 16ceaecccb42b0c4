package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/schema"
)

// maxTokenLength bounds the size of an encoded token in bytes.
const maxTokenLength = 2048

// RequestIDSize is the length of a request ID in bytes.
const RequestIDSize = 16

// Sign encodes a token for another node and signs it with HMAC-SHA-256.
func Sign(t *schema.HopToken, keyID uint32, secret []byte) (string, error) {
	data, err := proto.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "marshal token")
	}
	signed, err := proto.Marshal(&schema.SignedToken{Token: data, KeyId: keyID, Signature: mac(data, secret)})
	if err != nil {
		return "", errors.Wrap(err, "marshal signed token")
	}
	return base64.RawURLEncoding.EncodeToString(signed), nil
}

// Verify decodes a token and checks its signature. It uses findSecret to look up the secret by the signing key's ID.
func Verify(s string, findSecret func(id uint32) ([]byte, bool)) (*schema.HopToken, error) {
	if s == "" || len(s) > maxTokenLength {
		return nil, errors.New("request token is missing or too long")
	}
	data, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return nil, errors.New("request token is not base64")
	}
	signed := &schema.SignedToken{}
	if err := proto.Unmarshal(data, signed); err != nil {
		return nil, errors.New("request token can't be read")
	}
	secret, ok := findSecret(signed.GetKeyId())
	if !ok {
		return nil, errors.New("request token is signed with an unknown key")
	}
	if !hmac.Equal(mac(signed.GetToken(), secret), signed.GetSignature()) {
		return nil, errors.New("request token has a bad signature")
	}
	t := &schema.HopToken{}
	if err := proto.Unmarshal(signed.GetToken(), t); err != nil {
		return nil, errors.New("request token's content can't be read")
	}
	if len(t.GetRequestId()) != RequestIDSize {
		return nil, errors.Errorf("request token's id must have %d bytes", RequestIDSize)
	}
	return t, nil
}

func mac(data, secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(data)
	return h.Sum(nil)
}

// NewRequestID returns a new random request ID.
func NewRequestID() []byte {
	return randomBytes(RequestIDSize)
}

// NewHandle returns a new random handle, which an upstream sends with its nested calls to identify the request it serves.
func NewHandle() string {
	return base64.RawURLEncoding.EncodeToString(randomBytes(RequestIDSize))
}
