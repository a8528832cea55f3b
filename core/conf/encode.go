package conf

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ValueMax is the largest encoded configuration or record, in bytes, as the object API limits values to 1 MB.
const ValueBytesMax = 1_000_000

// ErrLarge means that an encoded configuration does not fit into one object.
var ErrTooLarge = errors.New("configuration is larger than 1 MB")

// Encode returns the form of cfg in the object API and in facts, or ErrLarge.
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

// Decode reads what Encode returned. The result is not checked.
func Decode(b []byte) (cfg Config, err error) {
	defer func() { err = errors.WithMessage(err, "decode configuration") }()
	return cfg, json.Unmarshal(b, &cfg)
}
