// Package gateway carries opaque requests of clients to runners: any method, path and body, chosen by the
// routing table, admitted by quota and allowance, sent by the balancer's choice, answered unchanged.
package gateway
