package dumper

import (
	"context"
	"net/http"
)

// dumpRequest is a request for one part of the state, or for the complete state if part is empty.
type dumpRequest struct {
	part string
}

// decodeDumpRequest reads the name of the part from the query of the URL.
func decodeDumpRequest(_ context.Context, r *http.Request) (any, error) {
	return dumpRequest{
		part: r.URL.Query().Get("part"),
	}, nil
}

// encodeDump writes the JSON that Dumper.Dump returned, followed by a newline.
func encodeDump(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(append(response.([]byte), '\n'))
	return err
}
