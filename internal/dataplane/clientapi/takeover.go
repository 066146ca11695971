package clientapi

import (
	"context"
	"net/http"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/streamstore"
)

// TakeOver continues a stream whose owner is gone, from the replica and the saved request, by a rerun of the request. Clients
// resume the stream by its ID.
func (s *Server) TakeOver(stream *streamstore.Stream, saved *streamstore.SavedRequest) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	e := &exchange{server: s, request: request.New(), body: saved.Body, bodyRead: true, keyHash: saved.KeyHash, attemptedRunners: map[int]bool{}}
	if err := e.restore(stream, saved); err != nil {
		_ = s.Streams.Close(s.Ctx, stream, string(rejectionOf(err).Code))
		return
	}
	resumable := &resumableStream{id: stream.ID, stored: stream}
	resumable.ctx, resumable.cancel = context.WithCancelCause(s.Ctx)
	e.resumable = resumable
	if s.Streams.AssignStandby(resumable.ctx, stream) == nil {
		_ = e.continueStream(&Rejection{Code: CodeRouterLost, OutcomeUnknown: true})
	}
}

// restore parses and routes a request that another router received, up to the point where it would be queued.
func (e *exchange) restore(stream *streamstore.Stream, saved *streamstore.SavedRequest) error {
	incoming, err := http.NewRequestWithContext(e.server.Ctx, saved.Method, saved.Path, nil)
	if err != nil {
		return &Rejection{Code: CodeRouterLost}
	}
	incoming.Header = saved.Header
	e.incoming, e.request.Tenant = incoming, stream.Tenant
	if rejection := e.applyConfig(e.server.Cluster.Config()); rejection != nil {
		return rejection
	}
	if err := e.parseBody(); err != nil {
		return err
	}
	e.request.Lane, e.queueKind = e.class.Name, e.pool.Name+"/"+e.model
	return nil
}
