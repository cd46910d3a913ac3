import type { RateSubject, ReservationDemand, ReservationGrant } from "../types/shared-rates.ts";
import type { Stopwatch } from "../utils/clock.ts";
import { MAX_INTERVAL_MS, RESERVATION_VALID_MS } from "./rate-schedule.ts";

interface Reservation {
    /** Time since the request for it was sent, which the holder received later. */
    readonly sinceRequest: Stopwatch;
    /** Time from the request at which it starts at the earliest. */
    readonly startsInMs: number;
    /** Time from which it may be used, on the monotonic clock. */
    readonly usableFromMs: number;
}

interface Waiter {
    readonly maxWaitUntilMs: number;
    /** Grows with each waiter. */
    readonly sequence: number;
}

/** Reservations of one process for one subject, and who waits for them. */
interface SubjectState {
    /** In the order of their starts. */
    reservations: Reservation[];
    /** In the order of their arrival, which is that in which they get reservations. */
    readonly waiters: Map<object, Waiter>;
    /** Sequences of the waiters, in ascending order. */
    readonly line: number[];
    /** Readings of both clocks when the reservations were last checked. */
    checkedAt: { readonly steadyMs: number; readonly wallMs: number; };
    /** Time at which a further reservation could start; undefined if the holder has not been asked yet. */
    nextDueAtMs: number | undefined;
}

/** Time that a grant may take; one that starts at a waiter's last moment would arrive too late. */
const GRANT_DELAY_MS = 20;

/**
 * Keeps one process's reservations and those who wait for them. Without a valid reservation nothing may be sent, so a
 * process that has lost touch with the holder sends nothing.
 *
 * @example
 * reservations.addWaiter(subject, request, nowMs() + 400, nowMs());
 * const demands = reservations.listDemands(nowMs());
 * // The holder grants them.
 * reservations.applyGrant(grant, sinceRequest, term, nowMs());
 * if (reservations.tryUse(subject, request, nowMs())) send(request);
 */
export class RateReservations {
    private readonly states = new Map<RateSubject, SubjectState>();
    private term: number | undefined;
    private nextSequence = 0;

    /** Whether a request may be sent to the subject now; one that doesn't wait comes after those that do. */
    canUse(subject: RateSubject, waiter: object, nowMs: number): boolean {
        const reservation = this.findReservation(subject, waiter);
        return reservation !== undefined && reservation.usableFromMs <= nowMs;
    }

    /** Uses up the earliest reservation and ends the wait; returns false if `canUse` does. */
    tryUse(subject: RateSubject, waiter: object, nowMs: number): boolean {
        if (!this.canUse(subject, waiter, nowMs)) return false;
        const state = this.states.get(subject)!;
        state.reservations.shift();
        leaveLine(state, waiter);
        return true;
    }

    /**
     * Makes `waiter` wait for a reservation; one that waits already keeps its place. It is forgotten once no reservation
     * can be of use to it.
     *
     * @returns Whether it didn't wait yet.
     */
    addWaiter(subject: RateSubject, waiter: object, maxWaitUntilMs: number, nowMs: number): boolean {
        const state: SubjectState = this.states.get(subject)
            ?? {
                reservations: [],
                waiters: new Map(),
                line: [],
                checkedAt: { steadyMs: -Infinity, wallMs: -Infinity },
                nextDueAtMs: undefined,
            };
        this.states.set(subject, state);
        const isNew = !state.waiters.has(waiter);
        if (isNew) forgetLateWaiters(state, nowMs);
        const sequence = state.waiters.get(waiter)?.sequence ?? this.nextSequence++;
        state.waiters.set(waiter, { maxWaitUntilMs, sequence });
        if (isNew) state.line.push(sequence);
        return isNew;
    }

    removeWaiter(subject: RateSubject, waiter: object): void {
        const state = this.states.get(subject);
        if (state !== undefined) leaveLine(state, waiter);
    }

    /** Number of those who wait for the subject. */
    countWaiters(subject: RateSubject): number {
        return this.states.get(subject)?.waiters.size ?? 0;
    }

    /**
     * Time until a waiter, or one that would come last, may use a reservation; undefined if the holder has not answered
     * yet. Waiters without a reservation get the next ones in their order, an interval of the rate apart at the earliest.
     */
    etaMs(subject: RateSubject, waiter: object, nowMs: number, ratePerSecond: number): number | undefined {
        const state = this.states.get(subject);
        if (state === undefined) return undefined;
        const place = this.findPlace(state, waiter);
        const valid = this.listValid(subject);
        const reservation = valid[place];
        if (reservation !== undefined) return Math.max(0, reservation.usableFromMs - nowMs);
        const { nextDueAtMs } = state;
        if (nextDueAtMs === undefined || nextDueAtMs <= nowMs) return undefined;
        const lineMs = (place - valid.length) * Math.min(MAX_INTERVAL_MS, 1_000 / ratePerSecond);
        // A waiter that the grant could not reach in time isn't asked for, so it must not wait either.
        return nextDueAtMs - nowMs + lineMs + GRANT_DELAY_MS;
    }

    /** Whether the waiter has a reservation. */
    isCovered(subject: RateSubject, waiter: object): boolean {
        return this.findReservation(subject, waiter) !== undefined;
    }

    /** Lists what is still to be asked for: one reservation for each waiter that it can reach in time. */
    listDemands(nowMs: number): ReservationDemand[] {
        for (const state of this.states.values()) forgetLateWaiters(state, nowMs);
        const demands: ReservationDemand[] = [];
        for (const [subject, state] of this.states) {
            const uncovered = [...state.waiters.values()].slice(this.listValid(subject).length);
            const waitsMs = uncovered.map(({ maxWaitUntilMs }) => maxWaitUntilMs - nowMs - GRANT_DELAY_MS);
            const maxWaitMs = Math.max(-1, ...waitsMs);
            // Exactly those are asked for that expect a reservation in time, see `etaMs`.
            const isTooLate = state.nextDueAtMs !== undefined && state.nextDueAtMs - nowMs >= maxWaitMs;
            if (maxWaitMs < 0 || isTooLate) continue;
            demands.push({ subject, count: waitsMs.filter(waitMs => waitMs >= 0).length, maxWaitMs });
        }
        return demands;
    }

    /** Whether anyone waits for the subject without a reservation. */
    hasUncovered(): boolean {
        for (const [subject, { waiters }] of this.states) {
            if (waiters.size > this.listValid(subject).length) return true;
        }
        return false;
    }

    /** Adds granted reservations; those of an earlier holder are void. */
    applyGrant(grant: ReservationGrant, sinceRequest: Stopwatch, term: number, nowMs: number): void {
        this.setTerm(term);
        const state = this.states.get(grant.subject);
        if (state === undefined) return;
        const added = grant.startsInMs.map(startsInMs => ({
            sinceRequest,
            startsInMs,
            usableFromMs: nowMs + startsInMs,
        }));
        state.reservations = [...this.listValid(grant.subject), ...added].sort((a, b) =>
            a.usableFromMs - b.usableFromMs
        );
        state.nextDueAtMs = nowMs + grant.nextInMs;
    }

    /** Voids all reservations of a subject, since its rate has changed or it is asked from another holder. */
    voidReservations(subject: RateSubject): void {
        const state = this.states.get(subject);
        if (state === undefined) return;
        state.reservations = [];
        state.nextDueAtMs = undefined;
    }

    /** Forgets the subjects that are not listed any more. */
    retain(isListed: (subject: RateSubject) => boolean): void {
        for (const [subject, { waiters }] of this.states) {
            if (waiters.size === 0 && !isListed(subject)) this.states.delete(subject);
        }
    }

    /** Reservations are used in the order in which the waiters came. */
    private findReservation(subject: RateSubject, waiter: object): Reservation | undefined {
        const state = this.states.get(subject);
        return state === undefined ? undefined : this.listValid(subject)[this.findPlace(state, waiter)];
    }

    /** Returns the waiter's place in line, or the one behind all others. */
    private findPlace({ waiters, line }: SubjectState, waiter: object): number {
        const known = waiters.get(waiter);
        return known === undefined ? line.length : findIndex(line, known.sequence);
    }

    private setTerm(term: number): void {
        if (term === this.term) return;
        if (this.term !== undefined) { for (const subject of this.states.keys()) this.voidReservations(subject); }
        this.term = term;
    }

    /** Drops the reservations that were not used in time. The time of a suspension counts. */
    private listValid(subject: RateSubject): readonly Reservation[] {
        const state = this.states.get(subject);
        if (state === undefined) return [];
        const isValid = ({ sinceRequest, startsInMs }: Reservation): boolean =>
            sinceRequest.elapsedMs() < startsInMs + RESERVATION_VALID_MS;
        // Hundreds of waiters ask for this in one turn of the event loop.
        const [steadyMs, wallMs] = [Math.floor(performance.now()), Date.now()];
        if (steadyMs === state.checkedAt.steadyMs && wallMs === state.checkedAt.wallMs) return state.reservations;
        state.checkedAt = { steadyMs, wallMs };
        if (!state.reservations.every(isValid)) state.reservations = state.reservations.filter(isValid);
        return state.reservations;
    }
}

/** Ends the waits of those to whom no reservation can be of use any more. */
function forgetLateWaiters(state: SubjectState, nowMs: number): void {
    for (const [waiter, { maxWaitUntilMs }] of state.waiters) {
        if (maxWaitUntilMs + RESERVATION_VALID_MS <= nowMs) leaveLine(state, waiter);
    }
}

function leaveLine({ waiters, line }: SubjectState, waiter: object): void {
    const known = waiters.get(waiter);
    if (known === undefined) return;
    waiters.delete(waiter);
    line.splice(findIndex(line, known.sequence), 1);
}

/** Finds a value that is in an ascending list. */
function findIndex(ascending: readonly number[], value: number): number {
    let low = 0;
    let high = ascending.length - 1;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (ascending[middle]! < value) low = middle + 1;
        else high = middle;
    }
    return low;
}
