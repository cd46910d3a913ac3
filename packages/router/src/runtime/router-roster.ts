import type { ProcessId } from "@skylarkmill/protocol";
import { nowMs } from "../utils/clock.ts";
import type { Peers } from "./peers.ts";

const CALL_TIMEOUT_MS = 300;
/** An answer of this age still counts, so that repeated questions cost few calls. */
const FRESH_MS = 2000;

/** Which router processes run. The host list names hosts only, and a restarted router has another process id. */
export class RouterRoster {
    private readonly peers: Peers;
    private readonly seenAtMs = new Map<string, number>();
    private asking: Promise<boolean> | undefined;
    private completeAtMs = -Infinity;

    constructor(peers: Peers) {
        this.peers = peers;
    }

    /** False only when every other listed router answered and none of them is this process. */
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

    /** Returns whether every router answered. */
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
