package peer

import (
	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
)

// ServeUnary decodes the request of an exchange with one reply, and returns the reply of
// serve. Handle can return the results of ServeUnary unchanged. A request that cannot be
// decoded is refused as malformed.
func ServeUnary[Request, Reply any](body cbor.RawMessage, serve func(Request) (Reply, error)) (any, error) {
	var request Request
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, fleet.Refuse(fleet.ReasonMalformed, err.Error())
	}
	reply, err := serve(request)
	if err != nil {
		return nil, err
	}
	return reply, nil
}
