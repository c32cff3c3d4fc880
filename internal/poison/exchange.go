package poison

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/vm"
)

// exchangeService and exchangeMethod name the call by which VMs exchange evidence on prompt prefixes. Its messages are
// those of crashcause in JSON, as in the digests of the platform's path.
const (
	exchangeService = "papayaspan.peer.CrashCause"
	exchangeMethod  = "Exchange"
)

// evidenceMessage is the message of an exchange in either direction.
type evidenceMessage struct {
	From    vm.ID               `json:"vm,omitempty"`
	Notices *crashcause.Notices `json:"notices,omitempty"`
}

func encodeEvidence(m evidenceMessage) (*wrapperspb.BytesValue, error) {
	data, err := json.Marshal(m)
	return wrapperspb.Bytes(data), errors.Wrap(err, "encode evidence")
}

func decodeEvidence(m *wrapperspb.BytesValue) (e evidenceMessage, err error) {
	return e, errors.Wrap(json.Unmarshal(m.GetValue(), &e), "decode evidence")
}

// Register registers the services of a guard, which the other VMs call.
func Register(s grpc.ServiceRegistrar, g *Guard) {
	peer.RegisterPoisonServer(s, Server{Guard: g})
	s.RegisterService(&exchangeDesc, exchangeServer{guard: g})
}

type exchanger interface {
	exchange(m *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)
}

var exchangeDesc = grpc.ServiceDesc{
	ServiceName: exchangeService,
	HandlerType: (*exchanger)(nil),
	Methods:     []grpc.MethodDesc{{MethodName: exchangeMethod, Handler: handleExchange}},
}

func handleExchange(srv any, ctx context.Context, dec func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) {
	in := &wrapperspb.BytesValue{}
	if err := dec(in); err != nil {
		return nil, err
	}
	handler := func(_ context.Context, req any) (any, error) {
		return srv.(exchanger).exchange(req.(*wrapperspb.BytesValue))
	}
	if interceptor == nil {
		return handler(ctx, in)
	}
	return interceptor(ctx, in, &grpc.UnaryServerInfo{Server: srv, FullMethod: "/" + exchangeService + "/" + exchangeMethod}, handler)
}

type exchangeServer struct{ guard *Guard }

func (s exchangeServer) exchange(m *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
	e, err := decodeEvidence(m)
	if err != nil {
		return nil, err
	}
	return encodeEvidence(evidenceMessage{Notices: s.guard.HandleExchange(e.From, e.Notices)})
}

// Exchange implements Peers.
func (c Client) Exchange(ctx context.Context, to, from vm.ID, n *crashcause.Notices) (*crashcause.Notices, error) {
	conn, err := c.Conn(to)
	if err != nil {
		return nil, errors.Wrapf(err, "reach VM %s", to)
	}
	in, err := encodeEvidence(evidenceMessage{From: from, Notices: n})
	if err != nil {
		return nil, err
	}
	out := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, "/"+exchangeService+"/"+exchangeMethod, in, out); err != nil {
		return nil, errors.Wrap(err, "exchange evidence")
	}
	reply, err := decodeEvidence(out)
	return reply.Notices, err
}
