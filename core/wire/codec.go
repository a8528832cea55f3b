package wire

import (
	"github.com/pkg/errors"
	"github.com/ugorji/go/codec"

	"hickoryvane.example/core/ident"
)

const (
	// BodyMax is the largest encoded Body or Chunk message.
	BodyMax ident.Bytes = 4 << 20
	// FrameMax is the largest encoded message of any other kind.
	FrameMax ident.Bytes = 64 << 10
	// arrayOfTwo is the CBOR header of the array of kind and payload.
	arrayOfTwo = 0x82
	// depthMax bounds the nesting of decoded messages.
	depthMax = 8
	// initMax bounds what is allocated for a collection before its elements were read.
	initMax = 1024
)

// Errors of Decode.
var (
	ErrFrame = errors.New("malformed frame")
	ErrKind  = errors.New("unknown message kind")
	ErrSize  = errors.New("message is too large")
)

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.MaxDepth = depthMax
	h.MaxInitLen = initMax
	h.ErrorIfNoArrayExpand = true
	return h
}

var makers = map[Kind]func() Message{
	KindHello:    func() Message { return &Hello{} },
	KindOffer:    func() Message { return &Offer{} },
	KindWithdraw: func() Message { return &Withdraw{} },
	KindGrant:    func() Message { return &Grant{} },
	KindDecline:  func() Message { return &Decline{} },
	KindBody:     func() Message { return &Body{} },
	KindRefuse:   func() Message { return &Refuse{} },
	KindChunk:    func() Message { return &Chunk{} },
	KindEnd:      func() Message { return &End{} },
	KindCredit:   func() Message { return &Credit{} },
	KindAttach:   func() Message { return &Attach{} },
	KindCancel:   func() Message { return &Cancel{} },
	KindLoad:     func() Message { return &Load{} },
	KindCache:    func() Message { return &Cache{} },
	KindClaim:    func() Message { return &Claim{} },
	KindClaimed:  func() Message { return &Claimed{} },
	KindRelease:  func() Message { return &Release{} },
	KindFacts:    func() Message { return &Facts{} },
	KindOrder:    func() Message { return &Order{} },
	KindOrdered:  func() Message { return &Ordered{} },
	KindLeave:    func() Message { return &Leave{} },
	KindBeacon:   func() Message { return &Beacon{} },
}

// Encode returns the encoding of m, or ErrSize.
func Encode(m Message) (b []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode message") }()
	out := make([]byte, 0, 128)
	enc := codec.NewEncoderBytes(&out, handle)
	if err = enc.Encode(m); err != nil {
		return nil, err
	}
	b = make([]byte, 0, len(out)+2)
	b = append(b, arrayOfTwo, byte(m.Kind()))
	b = append(b, out...)
	if ident.Bytes(len(b)) > limit(m.Kind()) {
		return nil, ErrSize
	}
	return b, nil
}

// Decode returns the message in b, or ErrFrame, ErrKind or ErrSize.
// The message does not share memory with b.
func Decode(b []byte) (m Message, err error) {
	defer func() {
		if r := recover(); r != nil { // the codec library may panic on hostile input
			m, err = nil, ErrFrame
		}
		err = errors.WithMessage(err, "decode message")
	}()
	if len(b) < 3 || b[0] != arrayOfTwo {
		return nil, ErrFrame
	}
	k := Kind(b[1])
	mk, ok := makers[k]
	if !ok {
		return nil, ErrKind
	}
	if ident.Bytes(len(b)) > limit(k) {
		return nil, ErrSize
	}
	m = mk()
	dec := codec.NewDecoderBytes(b[2:], handle)
	if err = dec.Decode(m); err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}
	return m, nil
}

func limit(k Kind) ident.Bytes {
	switch k {
	case KindBody, KindChunk, KindFacts: // a fact may hold a configuration of up to 1 MB
		return BodyMax
	default:
		return FrameMax
	}
}
