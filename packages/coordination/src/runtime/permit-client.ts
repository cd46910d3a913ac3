import { create } from "@bufbuild/protobuf";
import { AcquirePermitRequestSchema, type AcquirePermitResponse, type ProcessId } from "@skylarkmill/protocol";
import type {
    AcquireOptions,
    Permit,
    PermitBrokerPeer,
    PermitClient,
    PermitKind,
    PermitLimit,
} from "../types/permits.ts";
import { sleep } from "../utils/sleep.ts";

export interface PermitClientOptions {
    readonly processId: ProcessId;
    /** Returns the current limits; a kind without a limit needs no permit from the broker. */
    readonly limits: () => readonly PermitLimit[];
    /** Returns the broker currently responsible for a kind; undefined when no router is known. */
    readonly broker: (kind: PermitKind) => PermitBrokerPeer | undefined;
    /** Returns the number of processes that share a limit; each one's static share is the limit divided by it. */
    readonly sharingProcessCount: () => number;
    /** Time limit of a broker request, after which the broker counts as unreachable. @default 50 */
    readonly brokerTimeoutMs?: number;
    /** Time for which an unreachable broker is not called. @default 1000 */
    readonly brokerRetryMs?: number;
}

const DEFAULTS = { brokerTimeoutMs: 50, brokerRetryMs: 1000 };
/** Interval at which a used-up static share is checked again. */
const SHARE_POLL_INTERVAL_MS = 5;

/**
 * Creates a client that acquires permits from the broker, or from a static share while the broker is unreachable.
 *
 * @example
 * const permit = await permits.acquire("model_load", { urgency: URGENCY.waitingRequest });
 * try { await load(); } finally { permit?.release(); }
 */
export function createPermitClient(options: PermitClientOptions): PermitClient {
    return new BrokeredPermitClient({ ...DEFAULTS, ...options });
}

/** The part of a limit that this process may use while the broker is unreachable. */
class StaticShare {
    private inFlight = 0;
    private nextPermitAtMs = 0;

    /** Acquires a permit; returns false while the share is used up. */
    tryAcquire(limit: PermitLimit, sharingProcessCount: number): boolean {
        const nowMs = Date.now();
        const maxInFlight = Math.max(1, Math.floor(limit.maxInFlight / Math.max(1, sharingProcessCount)));
        if (this.inFlight >= maxInFlight || nowMs < this.nextPermitAtMs) return false;
        if (limit.ratePerSecond !== undefined) {
            this.nextPermitAtMs = nowMs + (1000 / limit.ratePerSecond) * Math.max(1, sharingProcessCount);
        }
        this.inFlight += 1;
        return true;
    }

    release(): void {
        this.inFlight -= 1;
    }
}

class BrokeredPermitClient implements PermitClient {
    private readonly staticShares = new Map<PermitKind, StaticShare>();
    private brokerRetryAtMs = 0;

    constructor(private readonly options: Required<PermitClientOptions>) {}

    /** Waits for a permit; returns undefined when the signal aborts first. */
    async acquire(kind: PermitKind, options: AcquireOptions): Promise<Permit | undefined> {
        const limit = this.options.limits().find(candidate => candidate.kind === kind);
        if (limit === undefined) return { source: "share", release: () => undefined };
        while (options.signal?.aborted !== true) {
            const broker = this.options.broker(kind);
            if (broker === undefined || Date.now() < this.brokerRetryAtMs) {
                const permit = this.tryAcquireShare(limit);
                if (permit !== undefined) return permit;
                await sleep(SHARE_POLL_INTERVAL_MS, options.signal);
                continue;
            }
            const response = await this.requestPermit(broker, kind, options.urgency);
            if (response?.granted === true) return createBrokerPermit(broker, response.permitId);
            if (response !== undefined) await sleep(response.retryAfterMs, options.signal);
        }
        return undefined;
    }

    /** Requests a permit from the broker; returns undefined when the call fails or times out. */
    private async requestPermit(
        broker: PermitBrokerPeer,
        kind: PermitKind,
        urgency: number,
    ): Promise<AcquirePermitResponse | undefined> {
        const request = create(AcquirePermitRequestSchema, { processId: this.options.processId, kind, urgency });
        const pendingResponse = broker.acquire(request).catch(() => undefined);
        const response = await Promise.race([pendingResponse, sleep(this.options.brokerTimeoutMs)]);
        if (response !== undefined) return response;
        this.brokerRetryAtMs = Date.now() + this.options.brokerRetryMs;
        // A permit granted after the timeout is released immediately.
        void pendingResponse.then(late => {
            if (late?.granted === true) createBrokerPermit(broker, late.permitId).release();
        });
        return undefined;
    }

    private tryAcquireShare(limit: PermitLimit): Permit | undefined {
        const share = this.staticShares.get(limit.kind) ?? new StaticShare();
        this.staticShares.set(limit.kind, share);
        if (!share.tryAcquire(limit, this.options.sharingProcessCount())) return undefined;
        return { source: "share", release: runOnce(() => share.release()) };
    }
}

function createBrokerPermit(broker: PermitBrokerPeer, permitId: string): Permit {
    // A failed release is ignored, since the permit expires at the broker.
    return { source: "broker", release: runOnce(() => void broker.release(permitId).catch(() => undefined)) };
}

function runOnce(action: () => void): () => void {
    let hasRun = false;
    return () => {
        if (hasRun) return;
        hasRun = true;
        action();
    };
}
