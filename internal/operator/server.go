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

// Server serves the operators' gRPC service of one instance.
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
		callAct:       newHandler(s, callAct, s.act),
		callWithdraw:  newHandler(s, callWithdraw, s.withdraw),
		callList:      newHandler(s, callList, s.list),
		callHistory:   newHandler(s, callHistory, s.history),
		callDiff:      newHandler(s, callDiff, s.diff),
		callExport:    newHandler(s, callExport, s.export),
		callImport:    newHandler(s, callImport, s.importFile),
		callInstances: newHandler(s, callInstances, s.instances),
		callDump:      newHandler(s, callDump, s.dump),
	}
	return s
}

// The names of the calls: keys of Server.handlers, and the call in log lines and errors.
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

// Run listens on the configured address and serves until the context ends. It returns the listener's error.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Listen.String())
	if err != nil {
		return err
	}
	return s.Serve(ctx, listener)
}

// Serve serves on the listener until the context ends, then stops gracefully: calls in progress finish. It returns the
// listener's error.
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

// stopper stops a gRPC server gracefully when a context ends.
type stopper struct {
	server *grpc.Server
}

func (s *stopper) run(ctx context.Context) {
	<-ctx.Done()
	s.server.GracefulStop()
}

// newHandler returns the go-kit handler of one call: the call itself wrapped by logCalls.
func newHandler[Request, Answer any](
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
		s.logCalls(name)(serve),
		passThrough,
		passThrough,
	)
}

// passThrough serves as go-kit's decoder and encoder, since the endpoints work on the protobuf messages themselves.
func passThrough(_ context.Context, message any) (any, error) { return message, nil }

// logCalls returns a middleware that logs each call, at debug level if it succeeds and at info level if it fails, and
// converts errors to gRPC statuses.
func (s *Server) logCalls(name string) endpoint.Middleware {
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
			return nil, status.Error(statusCode(err), err.Error())
		}
	}
}

// statusCode maps an error of a call to its gRPC status code.
func statusCode(err error) codes.Code {
	if wraps[*Malformed](err) {
		return codes.InvalidArgument
	}
	if wraps[*RevisionNotRetained](err) {
		return codes.NotFound
	}
	return codes.Internal
}
