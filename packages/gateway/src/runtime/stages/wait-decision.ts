import { WAIT_CHECK_MS } from "../request-timing.ts";
import type { ReservationState } from "./reservation-wait.ts";

/** Interval at which a request whose reservation has started searches for its server to be usable. */
const RESERVED_CHECK_MS = 10;

/** What is known when no server can take a request now. */
export interface WaitSituation {
    /** Time until the first server may be used again; undefined unless all servers of the request are on hold. */
    readonly holdMs: number | undefined;
    readonly reservation: ReservationState;
    /** Expected time until the request's model is ready; undefined without an estimate. */
    readonly modelEtaMs: number | undefined;
    /** Expected time until the request has its turn among those that wait for the same servers; undefined if unknown. */
    readonly placeEtaMs: number | undefined;
    /** Longest time for which it may wait for its turn. */
    readonly placeWaitMs: number;
    /** A server that is found later than this can't answer in time. */
    readonly usefulWaitMs: number;
    /** Time until the request's deadline. */
    readonly remainingMs: number;
    /** Whether the request has waited for as long as it may without an estimate. */
    readonly isWaitOver: boolean;
    /** Time after which a lost holder of reservations is expected to be replaced. */
    readonly holderReturnMs: number;
}

/** `refuse`: nobody can serve the request in time; `retryAfterMs` is when it can be served, if that is known. */
export type WaitDecision =
    | { readonly kind: "wait"; readonly checkInMs: number; }
    | { readonly kind: "refuse"; readonly code: string; readonly retryAfterMs?: number; };

/**
 * Decides whether a request waits for a server or is refused, since no server can be ready in time.
 *
 * @example
 * decideWait({ ...situation, modelEtaMs: 6_000, usefulWaitMs: 2_000 }); // { kind: "refuse", code: "model_not_in_time" }
 */
export function decideWait(situation: WaitSituation): WaitDecision {
    const { holdMs, reservation, modelEtaMs, usefulWaitMs, remainingMs, placeEtaMs } = situation;
    const isEtaInTime = (etaMs: number | undefined): boolean => etaMs !== undefined && etaMs < usefulWaitMs;
    const isInTime = holdMs === undefined
        ? reservation.kind === "granted" || isEtaInTime(modelEtaMs)
        : isEtaInTime(holdMs);
    if (!isInTime) {
        if (holdMs !== undefined) return { kind: "refuse", code: "servers_on_hold", retryAfterMs: holdMs };
        if (reservation.kind === "too_late") {
            return { kind: "refuse", code: "servers_at_rate", retryAfterMs: reservation.etaMs };
        }
        if (reservation.kind === "no_holder") {
            return { kind: "refuse", code: "rate_holder_lost", retryAfterMs: situation.holderReturnMs };
        }
        if (reservation.kind !== "pending") {
            if (modelEtaMs === undefined && placeEtaMs !== undefined && placeEtaMs > situation.placeWaitMs) {
                return { kind: "refuse", code: "servers_full", retryAfterMs: placeEtaMs };
            }
            if (modelEtaMs !== undefined) return { kind: "refuse", code: "model_not_in_time" };
            if (situation.isWaitOver) return { kind: "refuse", code: "no_server" };
        }
    }
    const reservedMs = reservation.etaMs > 0 ? reservation.etaMs : RESERVED_CHECK_MS;
    const checkInMs = Math.max(1, Math.min(WAIT_CHECK_MS, holdMs ?? reservedMs, usefulWaitMs, remainingMs));
    return { kind: "wait", checkInMs };
}
