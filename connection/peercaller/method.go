package peercaller

import (
	"context"
	"fmt"
	"reflect"

	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"

	"mulberrybeam"
	"mulberrybeam/connection/peerencoder"
)

// fromKey is the key of the call metadata that holds the sender's process ID.
const fromKey = "from"

// methods are the RPC methods of entry processes.
var methods = []method{
	unary[mulberrybeam.Exchange, mulberrybeam.ExchangeReply]("exchange"),
	unary[mulberrybeam.FetchEnvironment, mulberrybeam.FetchEnvironmentReply]("fetch-environment"),
	unary[mulberrybeam.Fence, mulberrybeam.FenceReply]("fence"),
	unary[mulberrybeam.Extend, mulberrybeam.ExtendReply]("extend"),
	unary[mulberrybeam.AskPermit, mulberrybeam.AskPermitReply]("ask-permit"),
	unary[mulberrybeam.ReleasePermit, mulberrybeam.ReleasePermitReply]("release-permit"),
}

// method is one RPC method: how a client invokes it and how a server registers
// it.
type method struct {
	request  reflect.Type
	invoke   func(ctx context.Context, conn drpc.Conn, maxSize int, message mulberrybeam.Message) (mulberrybeam.Message, error)
	register func(mux drpc.Mux, maxSize int, handler Handler) error
}

// unary returns the method with one request of type In and one reply of type
// Out.
func unary[In, Out mulberrybeam.Message](name string) method {
	return method{
		request: reflect.TypeFor[In](),
		invoke: func(ctx context.Context, conn drpc.Conn, maxSize int, message mulberrybeam.Message) (mulberrybeam.Message, error) {
			in, out := message.(In), new(Out)
			if err := conn.Invoke(ctx, name, codec[In, Out]{maxSize}, &in, out); err != nil {
				return nil, err
			}
			return *out, nil
		},
		register: func(mux drpc.Mux, maxSize int, handler Handler) error {
			return mux.Register(endpoint[In, Out]{handler}, methodDescription[In, Out]{name, maxSize})
		},
	}
}

// endpoint is the server side of one method.
type endpoint[In, Out mulberrybeam.Message] struct{ handler Handler }

// Handle passes a request to the handler and checks the type of the reply.
func (e endpoint[In, Out]) Handle(ctx context.Context, in *In) (*Out, error) {
	metadata, _ := drpcmetadata.Get(ctx)
	reply, err := e.handler(ctx, mulberrybeam.ProcessID(metadata[fromKey]), *in)
	if err != nil {
		return nil, err
	}
	out, matches := reply.(Out)
	if !matches {
		return nil, fmt.Errorf("reply to %T has type %T", *in, reply)
	}
	return &out, nil
}

// methodDescription implements drpc.Description for one method.
type methodDescription[In, Out mulberrybeam.Message] struct {
	name    string
	maxSize int
}

// NumMethods returns the number of methods, which is always 1.
func (methodDescription[In, Out]) NumMethods() int { return 1 }

// Method returns the name, the codec and the receiver of the method.
func (d methodDescription[In, Out]) Method(int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	receiver := func(srv interface{}, ctx context.Context, in, _ interface{}) (drpc.Message, error) {
		return srv.(endpoint[In, Out]).Handle(ctx, in.(*In))
	}
	return d.name, codec[In, Out]{d.maxSize}, receiver, endpoint[In, Out].Handle, true
}

// codec implements drpc.Encoding with peerencoder. Messages are pointers to In
// or Out. The size limit is checked here, since the limit of the connection's
// reader applies to whole frames and is less exact.
type codec[In, Out mulberrybeam.Message] struct{ maxSize int }

// Marshal encodes a message.
func (codec[In, Out]) Marshal(message drpc.Message) ([]byte, error) {
	switch message := message.(type) {
	case *In:
		return peerencoder.Encode(*message)
	case *Out:
		return peerencoder.Encode(*message)
	default:
		return nil, fmt.Errorf("message type %T is not the request or reply of this method", message)
	}
}

// Unmarshal decodes data into message. Data of another message type is an
// error.
func (c codec[In, Out]) Unmarshal(data []byte, message drpc.Message) error {
	if len(data) > c.maxSize {
		return fmt.Errorf("message size of %d bytes exceeds the limit of %d", len(data), c.maxSize)
	}
	decoded, err := peerencoder.Decode(data)
	if err != nil {
		return err
	}
	switch message := message.(type) {
	case *In:
		if in, matches := decoded.(In); matches {
			*message = in
			return nil
		}
	case *Out:
		if out, matches := decoded.(Out); matches {
			*message = out
			return nil
		}
	}
	return fmt.Errorf("received message type %T, expected %T", decoded, message)
}
