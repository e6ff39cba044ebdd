package relay

import (
	"context"
	"errors"
	"io"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// body is the body of an answer that another host relays.
type body struct {
	ctx      context.Context // of the request
	sender   *Sender
	host     wire.Host
	number   uint64
	exchange *peer.Exchange
	target   fleet.TargetID
	hold     holding.Hold // of the head and the window
	window   int
	rest     []byte // of the last piece
	read     int    // of the window, for which no credit was given yet
	end      error
	closed   bool
}

// Read implements io.Reader. It returns io.EOF only after the word of the relaying host that the body
// has ended.
func (b *body) Read(buffer []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.end != nil {
			return 0, b.end
		}
		b.end = b.next()
	}
	n := copy(buffer, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// next receives a part. It returns how the body ended, nil if it has not.
func (b *body) next() error {
	if b.read >= b.window/2 {
		credit := wire.RelayCredit{Number: b.number, Host: b.sender.Host, Bytes: b.read}
		b.read = 0
		if err := b.sender.Peers.Call(b.ctx, b.host.Peers, wire.KindRelayCredit, credit, new(struct{})); err != nil {
			return b.lost(err)
		}
	}
	var part wire.RelayPart
	if err := b.exchange.Next(b.ctx, &part); err != nil {
		return b.lost(err)
	}
	switch part.Result {
	case wire.RelayMore:
		b.rest = part.Data
		b.read += wire.RelayCost(len(part.Data))
		return nil
	case wire.RelayComplete:
		b.rest = part.Data
		return io.EOF
	}
	b.sender.Meter.RecordRelay(false, part.Result.String())
	var err error = &RelayError{By: b.host.ID, Result: part.Result, Detail: part.Detail}
	if part.Doubt {
		err = &PathError{b.target, err}
	}
	return err
}

// lost returns the error for an exchange that ended without word of the body's end.
func (b *body) lost(err error) error {
	if b.ctx.Err() != nil {
		return b.ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.sender.skip(b.host)
	b.sender.Meter.RecordRelay(false, "connection lost")
	return &PathError{b.target, err}
}

// Close implements io.Closer.
func (b *body) Close() error {
	if !b.closed {
		b.closed = true
		b.exchange.Close()
		b.hold.Release()
		b.sender.running.Add(-1)
	}
	return nil
}
