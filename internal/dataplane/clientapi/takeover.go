package clientapi

import (
	"context"
	"net/http"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/streamstore"
)

// TakeOver serves a stream whose router is gone: the same request again, from what is replicated of it and its response. Clients read it by its id.
func (s *Server) TakeOver(stream *streamstore.Stream, saved *streamstore.SavedRequest) {
	s.open.Add(1)
	defer s.open.Add(-1)
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

// restore brings a request that another router read to where it would be queued.
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
