package conf

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ValueBytesMax is the largest encoded configuration or record; the object API limits values to 1 MB.
const ValueBytesMax = 1_000_000

// ErrTooLarge means that an encoded configuration does not fit into one object.
var ErrTooLarge = errors.New("configuration is larger than 1 MB")

// Encode returns the encoding of cfg for the object API and gossip entries, or ErrTooLarge.
func Encode(cfg Config) (b []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode configuration") }()
	if b, err = json.Marshal(cfg); err != nil {
		return nil, err
	}
	if len(b) > ValueBytesMax {
		return nil, ErrTooLarge
	}
	return b, nil
}

// Decode decodes the output of Encode. It does not check the configuration; see Check.
func Decode(b []byte) (cfg Config, err error) {
	defer func() { err = errors.WithMessage(err, "decode configuration") }()
	return cfg, json.Unmarshal(b, &cfg)
}
