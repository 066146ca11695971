package node

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/wire"
)

// handle answers other routers' calls about streams.
func (s *Streams) handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "stream.copy":
		return wire.On(body, s.takeCopy)
	case "stream.read":
		return wire.On(body, func(asked *StreamAsk) (*StreamTold, error) { return s.read(ctx, asked), nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

// read gives the pieces after a number, and waits for one where there is none.
func (s *Streams) read(ctx context.Context, asked *StreamAsk) *StreamTold {
	s.mu.Lock()
	stream := s.byID[asked.ID]
	s.mu.Unlock()
	if stream == nil || stream.Tenant != asked.Tenant {
		return &StreamTold{}
	}
	wait := time.NewTimer(time.Duration(asked.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		stream.mu.Lock()
		told := &StreamTold{Have: !stream.tooLarge, End: stream.ended, Lost: stream.lost}
		if asked.After < stream.readable {
			told.Pieces = append(told.Pieces, stream.pieces[max(0, asked.After):stream.readable]...)
		}
		more := stream.changed
		stream.mu.Unlock()
		if len(told.Pieces) > 0 || told.End || told.Lost != "" || asked.WaitMs <= 0 {
			return told
		}
		select {
		case <-more:
		case <-wait.C:
			return told
		case <-ctx.Done():
			return told
		}
	}
}

// ErrNoStream means that no router within reach holds the stream for this tenant.
var ErrNoStream = eris.New("node: no such stream")

// Resume gives the pieces after a number, waiting for new ones, wherever the stream is held. The
// router that carries it is asked as well as its standby; who has more is believed.
//
//	told, err := streams.Resume(ctx, id, tenant, 12)
func (s *Streams) Resume(ctx context.Context, id, tenant string, after int) (*StreamTold, error) {
	asked := &StreamAsk{ID: id, Tenant: tenant, After: after, WaitMs: 700}
	s.mu.Lock()
	stream := s.byID[id]
	s.mu.Unlock()
	if stream != nil && stream.isOwn() {
		if told := s.read(ctx, asked); told.Have {
			return told, nil
		}
		return nil, ErrNoStream
	}
	short, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	nodes := s.hub.Nodes()
	answers := make(chan *StreamTold, len(nodes)+1)
	pending := 0
	for _, n := range nodes {
		if n.Name == s.ctx.Name {
			continue
		}
		pending++
		go func() {
			var told StreamTold
			if s.hub.Call(short, n.Addr, "stream.read", asked, &told) != nil {
				told = StreamTold{}
			}
			answers <- &told
		}()
	}
	if stream != nil {
		pending++
		go func() { answers <- s.read(short, asked) }()
	}
	var best *StreamTold
	for range pending {
		told := <-answers
		switch {
		case !told.Have:
		case len(told.Pieces) > 0 || told.End:
			return told, nil
		case best == nil || told.Lost == "":
			best = told
		}
	}
	if best == nil {
		return nil, ErrNoStream
	}
	return best, nil
}
