import type { GatewayContext } from "../../types/context.ts";
import type { CallerRequest, ServerStart } from "../../types/engine.ts";
import type { ServerState } from "../server-state.ts";
import type { ServerChoice } from "./server-choice.ts";

/**
 * How a request waits for servers that limit their rate.
 *
 * - `pending`: the holder has been asked and has not answered yet.
 * - `granted`: the request has a reservation.
 * - `too_late`, `no_holder`: no other server can serve the request, and a reservation could start only after `etaMs`, or
 *   no holder grants any.
 * - `none`: otherwise; other servers may take the request.
 */
export interface ReservationState {
    readonly kind: "pending" | "granted" | "too_late" | "no_holder" | "none";
    /** Time until the request may be sent to such a server; infinite if that is unknown. */
    readonly etaMs: number;
}

/** Waits for a reservation at one of the servers that limit their rate, on behalf of one request. */
export class ReservationWait {
    /** Server at which the request waits for a reservation, and the start of that server. */
    private target: { readonly server: ServerState; readonly start: ServerStart; } | undefined;

    constructor(
        private readonly context: Pick<GatewayContext, "serverRates" | "metrics">,
        private readonly choice: ServerChoice,
        private readonly request: CallerRequest,
    ) {}

    /**
     * Waits for a reservation at the server with the shortest wait among those that limit their rate. A reservation that
     * can't start in time is not waited for.
     */
    update(now: number, usefulWaitMs: number): ReservationState {
        const { serverRates } = this.context;
        const candidates = this.choice.listCandidates();
        const limited = candidates.filter(server => this.isLimitedCandidate(server, now));
        const isOnlyWay = limited.length > 0 && limited.length === candidates.length;
        const current = limited.find(({ record }) =>
            record.bornAtMs === this.target?.start.bornAtMs && record.serverId === this.target.start.serverId
        );
        // One that waits keeps its place while it can get a reservation in time.
        const estimate = current === undefined
            ? undefined
            : { server: current, ...this.estimateMs(current) };
        const kept = estimate !== undefined && (estimate.etaMs ?? 0) < usefulWaitMs ? estimate : undefined;
        const options = kept !== undefined ? [] : limited
            .map(server => ({ server, ...this.estimateMs(server) }))
            .sort((a, b) => (a.etaMs ?? a.guessMs) - (b.etaMs ?? b.guessMs));
        // A server that has received the request comes after those that have not.
        const unused = options.find(({ server, etaMs }) =>
            !this.choice.mayHaveRunAt(server.record.serverId) && (etaMs ?? 0) < usefulWaitMs
        );
        const best = kept ?? unused ?? options[0];
        const target = best !== undefined && (best.etaMs ?? 0) < usefulWaitMs ? best.server : undefined;
        if (target === undefined || target !== current) this.cancel("elsewhere");
        if (target !== undefined) {
            serverRates.await(target.record, this.request, now + usefulWaitMs);
            this.target = { server: target, start: target.record };
        }
        const etaMs = best?.etaMs ?? Infinity;
        if (target !== undefined) return { kind: best?.etaMs === undefined ? "pending" : "granted", etaMs };
        if (!isOnlyWay) return { kind: "none", etaMs: Infinity };
        return { kind: etaMs === Infinity ? "no_holder" : "too_late", etaMs };
    }

    leave(): ReservationState {
        this.cancel("elsewhere");
        return { kind: "none", etaMs: Infinity };
    }

    /** Uses up the reservation of a request that is sent to the server, and prepares probes of the others. */
    use(server: ServerState): void {
        const { serverRates } = this.context;
        if (serverRates.limitedCount > 0) {
            for (const other of this.choice.listCandidates()) {
                if (other !== server) serverRates.prepareProbe(other.record);
            }
        }
        serverRates.useReservation(server.record, this.request);
        this.cancel(server === this.target?.server ? "sent" : "elsewhere");
    }

    cancel(end: "sent" | "elsewhere" | "refused"): void {
        if (this.target === undefined) return;
        this.context.serverRates.cancelWait(this.target.start, this.request);
        this.context.metrics.rateWaits.inc({ end });
        this.target = undefined;
    }

    /** Whether the server can serve the request but may need a reservation first. */
    private isLimitedCandidate(server: ServerState, now: number): boolean {
        return this.context.serverRates.getRate(server.record) !== undefined && server.holdMs(now) === 0
            && !server.isSuspect(now);
    }

    /** Time until the request may be sent to the server: as the holder stated it, or else guessed from those who wait. */
    private estimateMs({ record }: ServerState): { readonly etaMs: number | undefined; readonly guessMs: number; } {
        const { serverRates } = this.context;
        const ratePerSecond = serverRates.getRate(record) ?? Infinity;
        return {
            etaMs: serverRates.etaMs(record, this.request),
            guessMs: 1_000 * serverRates.countWaiters(record) / ratePerSecond,
        };
    }
}
