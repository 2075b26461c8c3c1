package operator

import (
	"context"
	"crypto/tls"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
)

// operatorNameKey is the context key under which authenticate stores the operator's name.
type operatorNameKey struct{}

// operatorName returns the name from the calling operator's certificate, or "" outside an authenticated call.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorNameKey{}).(string)
	return name
}

// authenticate is the server's interceptor: it rejects callers without an operator's certificate and puts the
// operator's name into the context of the handler.
func authenticate(ctx context.Context, request any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	name, err := operatorFromPeer(ctx)
	if err != nil {
		return nil, status.Error(codes.PermissionDenied, err.Error())
	}
	return next(context.WithValue(ctx, operatorNameKey{}, name), request)
}

// operatorFromPeer returns the operator's name from the verified certificate of the connection, or *Denied.
func operatorFromPeer(ctx context.Context) (string, error) {
	caller, ok := peer.FromContext(ctx)
	if !ok {
		return "", &Denied{}
	}
	info, ok := caller.AuthInfo.(credentials.TLSInfo)
	if !ok || !chainVerified(info.State) {
		return "", &Denied{}
	}
	subject, err := certifier.PeerSubject(info.State)
	if err != nil || subject.Unit != certifier.UnitOperator {
		return "", &Denied{
			Cause: err,
		}
	}
	return subject.Name, nil
}

// chainVerified reports whether the TLS handshake verified the caller's certificate chain.
func chainVerified(state tls.ConnectionState) bool { return len(state.VerifiedChains) > 0 }
