package service

import (
	"context"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/transaction"
)

// transfer acquires or returns units of one tenant.
func (s *Service) transfer(ctx context.Context, move *coreapi.QuotaTransfer) (*coreapi.QuotaTransferResult, error) {
	all, err := s.transferAll(ctx, &coreapi.QuotaTransfersRequest{Holder: move.Holder, Transfers: []coreapi.QuotaTransfer{*move}})
	if err != nil {
		return nil, err
	}
	return &all.Results[0], nil
}

// transferAll makes all transfers of one holder in one write.
func (s *Service) transferAll(ctx context.Context, request *coreapi.QuotaTransfersRequest) (*coreapi.QuotaTransfersResponse, error) {
	response := &coreapi.QuotaTransfersResponse{}
	err := s.host.Submit(ctx, pipeline.ClassQuota, max(1, len(request.Transfers)), func(tx *transaction.Tx) error {
		response.Results = make([]coreapi.QuotaTransferResult, len(request.Transfers))
		document, err := s.documents.InBatch(tx)
		if err != nil {
			return err
		}
		if document == nil {
			document = &configuration.Document{}
		}
		for i := range request.Transfers {
			var demand quotapool.Demand
			response.Results[i], demand, err = s.pools.Transfer(tx, request.Holder, &request.Transfers[i], document)
			s.markScarcity(demand)
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// markScarcity has the routers told where idle units are wanted back after an acquire.
func (s *Service) markScarcity(demand quotapool.Demand) {
	if demand.Units <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scarcity.Record(demand, s.routers.Len())
}

// coolHolder has a holder's units cool: its process is surely gone.
func (s *Service) coolHolder(ctx context.Context, holder string) error {
	return s.host.Submit(ctx, pipeline.ClassQuota, 1, func(tx *transaction.Tx) error { return s.pools.StartCooling(tx, holder) })
}

// sweepQuotas has the run loop make the changes of quota pools that are due, and the runs of routers confirmed beside which
// others hold units.
func (s *Service) sweepQuotas(document *configuration.Document, live quotapool.LiveHolders) {
	operation, successors := s.pools.Sweep(s.host.Store(), document, live)
	if operation != nil {
		s.host.SubmitLater(pipeline.ClassQuota, operation)
	}
	for _, router := range successors {
		s.replacedRuns.Add(router, 0)
	}
}
