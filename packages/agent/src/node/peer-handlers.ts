import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { PeerServerOptions, RecordStore } from "@skylarkmill/coordination";
import {
    type DataCentre,
    DrainResponseSchema,
    type HostId,
    type ProcessId,
    ProcessStatusSchema,
    type ServerStatus,
} from "@skylarkmill/protocol";
import type { Drain } from "../runtime/drain.ts";

export interface PeerHandlerOptions {
    readonly processId: ProcessId;
    readonly hostId: HostId;
    readonly dataCentre: DataCentre;
    readonly records: RecordStore;
    readonly drain: Drain;
    readonly status: () => ServerStatus;
    readonly isReady: () => boolean;
    readonly problems: () => readonly string[];
    /** Time from the write of the last received configuration change until this process received it. */
    readonly lastConfigChangeDelayMs: () => number;
    /** Requests queued or running. */
    readonly inProgressCount: () => number;
}

/** Creates the agent's handlers for the peer service. */
export function createPeerHandlers(options: PeerHandlerOptions): PeerServerOptions["handlers"] {
    const { records, drain } = options;
    return {
        exchange: request => records.handleExchange(request),
        push: request => records.handlePush(request),
        probe: () => options.status(),
        drain: request => {
            if (request.hostId !== options.hostId) {
                throw new ConnectError(
                    `this is host ${options.hostId}`,
                    Code.InvalidArgument,
                );
            }
            drain.setCause("peer", request.draining);
            return create(DrainResponseSchema, {
                draining: drain.isRefusingRequests,
                inProgressCount: options.inProgressCount(),
            });
        },
        getStatus: () =>
            create(ProcessStatusSchema, {
                processId: options.processId,
                role: "agent",
                dataCentre: options.dataCentre,
                ready: options.isReady(),
                draining: drain.isRefusingRequests,
                versions: [...records.versions()],
                lastChangeMs: options.lastConfigChangeDelayMs(),
                server: options.status(),
                problems: [...options.problems()],
            }),
    };
}
