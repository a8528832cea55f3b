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
	initLenMax = 1024
)

// Errors of Decode.
var (
	ErrMalformedFrame = errors.New("malformed frame")
	ErrUnknownKind    = errors.New("unknown message kind")
	ErrTooLarge       = errors.New("message is too large")
)

var cborHandle = newCBORHandle()

func newCBORHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.MaxDepth = depthMax
	h.MaxInitLen = initLenMax
	h.ErrorIfNoArrayExpand = true
	return h
}

var constructors = map[Kind]func() Message{
	KindHello:        func() Message { return &Hello{} },
	KindOffer:        func() Message { return &Offer{} },
	KindWithdraw:     func() Message { return &Withdraw{} },
	KindGrant:        func() Message { return &Grant{} },
	KindDecline:      func() Message { return &Decline{} },
	KindBody:         func() Message { return &Body{} },
	KindRefuse:       func() Message { return &Refuse{} },
	KindChunk:        func() Message { return &Chunk{} },
	KindEnd:          func() Message { return &End{} },
	KindCredit:       func() Message { return &Credit{} },
	KindAttach:       func() Message { return &Attach{} },
	KindCancel:       func() Message { return &Cancel{} },
	KindLoad:         func() Message { return &Load{} },
	KindCache:        func() Message { return &Cache{} },
	KindClaim:        func() Message { return &Claim{} },
	KindClaimReply:   func() Message { return &ClaimReply{} },
	KindRelease:      func() Message { return &Release{} },
	KindGossip:       func() Message { return &Gossip{} },
	KindCommand:      func() Message { return &Command{} },
	KindCommandReply: func() Message { return &CommandReply{} },
	KindLeave:        func() Message { return &Leave{} },
	KindHeartbeat:    func() Message { return &Heartbeat{} },
}

// Encode returns the encoding of m, or ErrSize.
func Encode(m Message) (b []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode message") }()
	out := make([]byte, 0, 128)
	enc := codec.NewEncoderBytes(&out, cborHandle)
	if err = enc.Encode(m); err != nil {
		return nil, err
	}
	b = make([]byte, 0, len(out)+2)
	b = append(b, arrayOfTwo, byte(m.Kind()))
	b = append(b, out...)
	if ident.Bytes(len(b)) > sizeLimit(m.Kind()) {
		return nil, ErrTooLarge
	}
	return b, nil
}

// Decode returns the message in b, or ErrFrame, ErrKind or ErrSize.
// The message does not share memory with b.
func Decode(b []byte) (m Message, err error) {
	defer func() {
		if r := recover(); r != nil { // the codec library may panic on hostile input
			m, err = nil, ErrMalformedFrame
		}
		err = errors.WithMessage(err, "decode message")
	}()
	if len(b) < 3 || b[0] != arrayOfTwo {
		return nil, ErrMalformedFrame
	}
	k := Kind(b[1])
	mk, ok := constructors[k]
	if !ok {
		return nil, ErrUnknownKind
	}
	if ident.Bytes(len(b)) > sizeLimit(k) {
		return nil, ErrTooLarge
	}
	m = mk()
	dec := codec.NewDecoderBytes(b[2:], cborHandle)
	if err = dec.Decode(m); err != nil {
		return nil, errors.Wrap(ErrMalformedFrame, err.Error())
	}
	return m, nil
}

func sizeLimit(k Kind) ident.Bytes {
	switch k {
	case KindBody, KindChunk, KindGossip: // a fact may hold a configuration of up to 1 MB
		return BodyMax
	default:
		return FrameMax
	}
}
