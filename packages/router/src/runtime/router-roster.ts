import type { ProcessId } from "@skylarkmill/protocol";
import { nowMs } from "../utils/clock.ts";
import type { Peers } from "./peers.ts";

/** Time limit of a status request to another router. */
const CALL_TIMEOUT_MS = 300;
/** Time for which a router's status is reused, so that repeated checks need few calls. */
const FRESH_MS = 2000;

/**
 * Tracks which router processes are running by requesting the status of all routers. The host list does not show
 * this: it contains hosts only, and a restarted router has a new process id.
 */
export class RouterRoster {
    private readonly peers: Peers;
    private readonly seenAtMs = new Map<string, number>();
    private asking: Promise<boolean> | undefined;
    private completeAtMs = -Infinity;

    constructor(peers: Peers) {
        this.peers = peers;
    }

    /** Returns false only if all other listed routers responded and none of them has this process id. */
    async mayRun(processId: ProcessId): Promise<boolean> {
        if (this.isFresh(processId)) return true;
        const complete = nowMs() - this.completeAtMs < FRESH_MS || await this.askAll();
        return !complete || this.isFresh(processId);
    }

    private isFresh(processId: ProcessId): boolean {
        return nowMs() - (this.seenAtMs.get(processId) ?? -Infinity) < FRESH_MS;
    }

    private askAll(): Promise<boolean> {
        this.asking ??= this.collect().finally(() => this.asking = undefined);
        return this.asking;
    }

    /** Requests the status of all other routers and returns whether all of them responded. */
    private async collect(): Promise<boolean> {
        this.seenAtMs.clear();
        const answers = this.peers.listedRouters().map(async host => {
            const status = await this.peers.clientOf(host).calls.getStatus({}, { timeoutMs: CALL_TIMEOUT_MS });
            this.seenAtMs.set(status.processId, nowMs());
        });
        const results = await Promise.allSettled(answers);
        const complete = results.every(result => result.status === "fulfilled");
        if (complete) this.completeAtMs = nowMs();
        return complete;
    }
}
