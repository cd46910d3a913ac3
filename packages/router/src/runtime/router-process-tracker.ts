import { nowMs } from "@skylarkmill/coordination";
import type { ProcessId } from "@skylarkmill/protocol";
import type { Peers } from "./peers.ts";

/** Time limit of a status request to another router. */
const CALL_TIMEOUT_MS = 300;
/** Time for which a router's status is reused, so that repeated checks need few calls. */
const MAX_STATUS_AGE_MS = 2000;

/**
 * Tracks which router processes are running by requesting the status of all routers. The host list does not show
 * this: it contains hosts only, and a restarted router has a new process id.
 */
export class RouterProcessTracker {
    private readonly peers: Peers;
    private readonly seenAtMs = new Map<string, number>();
    private pendingRefresh: Promise<boolean> | undefined;
    private allRespondedAtMs = -Infinity;

    constructor(peers: Peers) {
        this.peers = peers;
    }

    /** Returns false only if all other listed routers responded and none of them has this process id. */
    async mayBeRunning(processId: ProcessId): Promise<boolean> {
        if (this.wasRecentlySeen(processId)) return true;
        const haveAllResponded = nowMs() - this.allRespondedAtMs < MAX_STATUS_AGE_MS || await this.refresh();
        return !haveAllResponded || this.wasRecentlySeen(processId);
    }

    private wasRecentlySeen(processId: ProcessId): boolean {
        return nowMs() - (this.seenAtMs.get(processId) ?? -Infinity) < MAX_STATUS_AGE_MS;
    }

    private refresh(): Promise<boolean> {
        this.pendingRefresh ??= this.requestStatuses().finally(() => this.pendingRefresh = undefined);
        return this.pendingRefresh;
    }

    /** Requests the status of all other routers and returns whether all of them responded. */
    private async requestStatuses(): Promise<boolean> {
        this.seenAtMs.clear();
        const calls = this.peers.listedRouters().map(async host => {
            const status = await this.peers.clientOf(host).calls.getStatus({}, { timeoutMs: CALL_TIMEOUT_MS });
            this.seenAtMs.set(status.processId, nowMs());
        });
        const results = await Promise.allSettled(calls);
        const haveAllResponded = results.every(result => result.status === "fulfilled");
        if (haveAllResponded) this.allRespondedAtMs = nowMs();
        return haveAllResponded;
    }
}
