package peer

import (
	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
)

// ServeUnary serves an exchange of one request and one reply for a Handler. A
// request that can not be decoded is refused.
func ServeUnary[Ask, Reply any](body cbor.RawMessage, serve func(Ask) (Reply, error)) (any, error) {
	var ask Ask
	if err := cbor.Unmarshal(body, &ask); err != nil {
		return nil, fleet.Refuse(fleet.ReasonMalformed, err.Error())
	}
	reply, err := serve(ask)
	if err != nil {
		return nil, err
	}
	return reply, nil
}
