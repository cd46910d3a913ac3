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
    readonly limits: () => readonly PermitLimit[];
    /** The broker that serves a kind now; undefined when no router is known. */
    readonly broker: (kind: PermitKind) => PermitBrokerPeer | undefined;
    /** Processes that share the limit; the static share is the limit divided by this. */
    readonly shareCount: () => number;
    /** Time after which a silent broker counts as out of reach. @default 50 */
    readonly brokerTimeoutMs?: number;
    /** Time during which a broker that was out of reach is not asked again. @default 1000 */
    readonly brokerRetryMs?: number;
}

const DEFAULTS = { brokerTimeoutMs: 50, brokerRetryMs: 1000 };
const SHARE_POLL_MS = 5;

/**
 * Creates the client of the permit broker.
 *
 * @example
 * const permit = await permits.acquire("model_load", { urgency: URGENCY.waitingRequest });
 * try { await load(); } finally { permit?.release(); }
 */
export function createPermitClient(options: PermitClientOptions): PermitClient {
    return new BrokeredPermitClient({ ...DEFAULTS, ...options });
}

/** The part of a limit that this process may use without the broker. */
class StaticShare {
    private inFlight = 0;
    private nextAtMs = 0;

    /** Takes a permit, or returns false while the share is used up. */
    tryTake(limit: PermitLimit, shareCount: number): boolean {
        const nowMs = Date.now();
        const maxInFlight = Math.max(1, Math.floor(limit.maxInFlight / Math.max(1, shareCount)));
        if (this.inFlight >= maxInFlight || nowMs < this.nextAtMs) return false;
        if (limit.ratePerSecond !== undefined) {
            this.nextAtMs = nowMs + (1000 / limit.ratePerSecond) * Math.max(1, shareCount);
        }
        this.inFlight += 1;
        return true;
    }

    release(): void {
        this.inFlight -= 1;
    }
}

class BrokeredPermitClient implements PermitClient {
    private readonly shares = new Map<PermitKind, StaticShare>();
    private brokerUsableAtMs = 0;

    constructor(private readonly options: Required<PermitClientOptions>) {}

    /** Waits for a permit; returns undefined when the signal aborts first. */
    async acquire(kind: PermitKind, options: AcquireOptions): Promise<Permit | undefined> {
        const limit = this.options.limits().find(candidate => candidate.kind === kind);
        if (limit === undefined) return { source: "share", release: () => undefined };
        while (options.signal?.aborted !== true) {
            const broker = this.options.broker(kind);
            if (broker === undefined || Date.now() < this.brokerUsableAtMs) {
                const permit = this.takeShare(limit);
                if (permit !== undefined) return permit;
                await sleep(SHARE_POLL_MS, options.signal);
                continue;
            }
            const response = await this.ask(broker, kind, options.urgency);
            if (response?.granted === true) return brokered(broker, response.permitId);
            if (response !== undefined) await sleep(response.retryAfterMs, options.signal);
        }
        return undefined;
    }

    private async ask(
        broker: PermitBrokerPeer,
        kind: PermitKind,
        urgency: number,
    ): Promise<AcquirePermitResponse | undefined> {
        const request = create(AcquirePermitRequestSchema, { processId: this.options.processId, kind, urgency });
        const answer = broker.acquire(request).catch(() => undefined);
        const response = await Promise.race([answer, sleep(this.options.brokerTimeoutMs)]);
        if (response !== undefined) return response;
        this.brokerUsableAtMs = Date.now() + this.options.brokerRetryMs;
        // A permit that arrives too late is given back at once.
        void answer.then(late => {
            if (late?.granted === true) brokered(broker, late.permitId).release();
        });
        return undefined;
    }

    private takeShare(limit: PermitLimit): Permit | undefined {
        const share = this.shares.get(limit.kind) ?? new StaticShare();
        this.shares.set(limit.kind, share);
        if (!share.tryTake(limit, this.options.shareCount())) return undefined;
        return { source: "share", release: once(() => share.release()) };
    }
}

function brokered(broker: PermitBrokerPeer, permitId: string): Permit {
    // An unreleased permit expires at the broker.
    return { source: "broker", release: once(() => void broker.release(permitId).catch(() => undefined)) };
}

function once(action: () => void): () => void {
    let done = false;
    return () => {
        if (done) return;
        done = true;
        action();
    };
}
