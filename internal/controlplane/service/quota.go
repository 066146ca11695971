package service

import (
	"context"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/transaction"
)

// transfer acquires or returns units of one tenant's quota.
func (s *Service) transfer(ctx context.Context, request *coreapi.QuotaTransfer) (*coreapi.QuotaTransferResult, error) {
	response, err := s.transferAll(ctx, &coreapi.QuotaTransfersRequest{Holder: request.Holder, Transfers: []coreapi.QuotaTransfer{*request}})
	if err != nil {
		return nil, err
	}
	return &response.Results[0], nil
}

// transferAll applies all transfers of one holder in a single write.
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
			s.recordDemand(demand)
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

// recordDemand records an acquire, so that routers are asked to return idle units of the tenant if its units are scarce.
func (s *Service) recordDemand(demand quotapool.Demand) {
	if demand.Units <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scarcity.Record(demand, s.routers.Len())
}

// startCooling starts the cooling period of the units of a holder whose process has certainly ended.
func (s *Service) startCooling(ctx context.Context, holder string) error {
	return s.host.Submit(ctx, pipeline.ClassQuota, 1, func(tx *transaction.Tx) error { return s.pools.StartCooling(tx, holder) })
}

// sweepQuotas schedules the changes of the quota pools that are due. It also adds the routers at whose address another run
// has units to replacedRuns, which finds out whether that other run has ended.
func (s *Service) sweepQuotas(document *configuration.Document, live quotapool.LiveHolders) {
	operation, successors := s.pools.Sweep(s.host.Store(), document, live)
	if operation != nil {
		s.host.SubmitLater(pipeline.ClassQuota, operation)
	}
	for _, router := range successors {
		s.replacedRuns.Add(router, 0)
	}
}
