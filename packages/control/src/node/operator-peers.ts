import type { HostEntry } from "@skylarkmill/adapters";
import { createPeerClient } from "@skylarkmill/coordination";
import { type ProcessId, toId } from "@skylarkmill/protocol";
import type { OperatorPeers } from "../types/operator.ts";

export interface OperatorPeersOptions {
    /** Returns the accepted keys of the peer interface; the first one is sent with each call. */
    readonly keys: () => readonly string[];
}

type PeerCalls = ReturnType<typeof createPeerClient>["calls"];

/**
 * Creates the client that the operators' interface uses to call other processes. Such calls are rare, so each
 * one opens its own connection.
 *
 * @example
 * const peers = createOperatorPeers({ keys: () => ["secret"] });
 */
export function createOperatorPeers(options: OperatorPeersOptions): OperatorPeers {
    const call = async <T>(host: HostEntry, invoke: (calls: PeerCalls) => Promise<T>): Promise<T> => {
        const client = createPeerClient({
            processId: toId<ProcessId>(host.hostId),
            address: host.address,
            port: host.peerPort,
            keys: options.keys,
        });
        try {
            return await invoke(client.calls);
        }
        finally {
            client.close();
        }
    };
    return {
        getStatus: (host, signal) => call(host, calls => calls.getStatus({}, { signal })),
        drain: (host, request, signal) => call(host, calls => calls.drain(request, { signal })),
    };
}
