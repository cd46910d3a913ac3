import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import type { PermitBroker, RecordStore } from "@skylarkmill/coordination";
import { type PeerService, type ProcessStatus, ReleasePermitResponseSchema } from "@skylarkmill/protocol";
import type { Peers } from "../runtime/peers.ts";

export interface PeerHandlersOptions {
    readonly records: RecordStore;
    readonly broker: PermitBroker;
    readonly peers: Peers;
    readonly status: () => ProcessStatus;
}

/** Creates the handlers of the calls that other processes may make to a router. */
export function createPeerHandlers(options: PeerHandlersOptions): Partial<ServiceImpl<typeof PeerService>> {
    const { records, broker, peers } = options;
    return {
        exchange: request => records.handleExchange(request),
        push: request => records.handlePush(request),
        acquirePermit: request => {
            // Two brokers would grant the limit twice. The agent falls back to its static share of the limit.
            if (!peers.isBroker(request.kind)) {
                throw new ConnectError(
                    `this router is not the broker of ${request.kind}`,
                    Code.FailedPrecondition,
                );
            }
            return broker.acquire(request);
        },
        releasePermit: request => {
            broker.release(request.permitId);
            return create(ReleasePermitResponseSchema);
        },
        getStatus: () => options.status(),
    };
}
