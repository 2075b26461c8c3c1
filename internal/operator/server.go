package operator

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-kit/kit/endpoint"
	kitgrpc "github.com/go-kit/kit/transport/grpc"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
)

// Server serves operators' remote procedure calls.
type Server struct {
	config   Config
	handlers map[string]kitgrpc.Handler
}

// New returns a Server that does not listen yet.
func New(config Config) *Server {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	s := &Server{
		config: config,
	}
	s.handlers = map[string]kitgrpc.Handler{
		callAct:       handler(s, callAct, s.act),
		callWithdraw:  handler(s, callWithdraw, s.withdraw),
		callList:      handler(s, callList, s.list),
		callHistory:   handler(s, callHistory, s.history),
		callDiff:      handler(s, callDiff, s.diff),
		callExport:    handler(s, callExport, s.export),
		callImport:    handler(s, callImport, s.importFile),
		callInstances: handler(s, callInstances, s.instances),
		callDump:      handler(s, callDump, s.dump),
	}
	return s
}

// The names of the calls.
const (
	callAct       = "Act"
	callWithdraw  = "Withdraw"
	callList      = "List"
	callHistory   = "History"
	callDiff      = "Diff"
	callExport    = "Export"
	callImport    = "Import"
	callInstances = "Instances"
	callDump      = "Dump"
)

// Run listens at the configured address and serves until the context ends. It
// returns the listener's error.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Listen.String())
	if err != nil {
		return err
	}
	return s.Serve(ctx, listener)
}

// Serve serves at a listener until the context ends. Calls that run finish. It
// returns the listener's error.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(s.config.TLS)),
		grpc.UnaryInterceptor(authenticate),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
	)
	operatorpb.RegisterOperatorServer(server, &binding{
		server: s,
	})
	stop := &stopper{
		server: server,
	}
	go stop.run(ctx)
	s.config.Log.WithFields(logrus.Fields{
		"address": listener.Addr().String(),
	}).Info("operators")
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// stopper ends a server when a context ends.
type stopper struct {
	server *grpc.Server
}

func (s *stopper) run(ctx context.Context) {
	<-ctx.Done()
	s.server.GracefulStop()
}

// handler makes the go-kit handler of one call.
func handler[Request, Answer any](
	s *Server, name string, call func(context.Context, Request) (Answer, error),
) kitgrpc.Handler {
	serve := func(ctx context.Context, request any) (any, error) {
		typed, ok := request.(Request)
		if !ok {
			return nil, &Malformed{
				What: name,
			}
		}
		return call(ctx, typed)
	}
	return kitgrpc.NewServer(
		s.logged(name)(serve),
		pass,
		pass,
	)
}

// pass is the decoder and encoder of messages that the endpoints take as they are.
func pass(_ context.Context, message any) (any, error) { return message, nil }

// logged writes one line for each call and turns errors into gRPC statuses.
func (s *Server) logged(name string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			answer, err := next(ctx, request)
			fields := logrus.Fields{
				"call":     name,
				"operator": operatorName(ctx),
			}
			if err == nil {
				s.config.Log.WithFields(fields).Debug("call")
				return answer, nil
			}
			s.config.Log.WithFields(fields).WithError(err).Info("call")
			return nil, status.Error(statusOf(err), err.Error())
		}
	}
}

func statusOf(err error) codes.Code {
	if holds[*Malformed](err) {
		return codes.InvalidArgument
	}
	if holds[*NotKept](err) {
		return codes.NotFound
	}
	return codes.Internal
}
