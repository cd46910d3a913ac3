import type { RateDuty, RateSubject, ReservationDemand, ReservationGrant } from "../types/shared-rates.ts";

/** Time from its start within which a reservation must be used; it bounds how many can be used at once. */
export const RESERVATION_VALID_MS = 500;
/** Longest time ahead for which reservations are granted, since they can't be taken back when the rate falls. */
export const MAX_AHEAD_MS = 3_000;
/** A subject gets a request at least this often, since only a response can state that the rate has ended. */
export const MAX_INTERVAL_MS = 10_000;
/** Largest number of reservations in one grant. */
const MAX_GRANT_COUNT = 1_000;
/** Time for which reservations of an earlier holder may still be used. */
const TAKEOVER_MS = MAX_AHEAD_MS;
/** Share of each rate that a holder uses which may not be the only one. */
const UNCERTAIN_SHARE = 0.5;

interface SubjectSchedule {
    readonly ratePerSecond: number;
    /** Time from which the next reservation can be used. */
    nextStartMs: number;
}

/**
 * Grants reservations for the rates that all processes keep together. Reservations for one subject start one interval of
 * its rate apart, so the number of those that are valid in any time is bounded, whoever holds them. One process, the
 * holder, grants them all. A new holder doesn't know the reservations of the one before, nor does that one always know
 * that it lost the duty, so each uses a part of the rate until that is settled.
 *
 * @example
 * const schedule = new RateSchedule();
 * const duty = { term: 7, heldMs: 60_000, isConfirmed: true };
 * schedule.reserve({ subject, count: 2, maxWaitMs: 1_000 }, 4, duty, nowMs());
 * // { subject, ratePerSecond: 4, startsInMs: [0, 250], nextInMs: 500 }
 */
export class RateSchedule {
    private readonly schedules = new Map<RateSubject, SubjectSchedule>();
    private term: number | undefined;

    /** Grants as many of the wanted reservations as can start in time. */
    reserve(
        { subject, count, maxWaitMs }: ReservationDemand,
        ratePerSecond: number,
        { term, heldMs, isConfirmed }: RateDuty,
        nowMs: number,
    ): ReservationGrant {
        if (term !== this.term) this.schedules.clear();
        this.term = term;
        const settledAtMs = nowMs + Math.max(0, TAKEOVER_MS - heldMs);
        const computeIntervalMs = (startMs: number): number => {
            const share = isConfirmed && startMs >= settledAtMs ? 1 : UNCERTAIN_SHARE;
            return Math.min(MAX_INTERVAL_MS, 1_000 / (ratePerSecond * share));
        };
        const schedule = this.getSchedule(
            subject,
            ratePerSecond,
            heldMs < TAKEOVER_MS,
            nowMs,
            computeIntervalMs(nowMs),
        );
        schedule.nextStartMs = Math.max(schedule.nextStartMs, nowMs);
        const lastStartMs = nowMs + Math.min(maxWaitMs, MAX_AHEAD_MS);
        const startsInMs: number[] = [];
        const maxCount = Math.min(count, MAX_GRANT_COUNT);
        while (startsInMs.length < maxCount && schedule.nextStartMs <= lastStartMs) {
            startsInMs.push(schedule.nextStartMs - nowMs);
            schedule.nextStartMs += computeIntervalMs(schedule.nextStartMs);
        }
        return { subject, ratePerSecond, startsInMs, nextInMs: schedule.nextStartMs - nowMs };
    }

    /** Forgets the other subjects. */
    retain(isKept: (subject: RateSubject) => boolean): void {
        for (const subject of this.schedules.keys()) if (!isKept(subject)) this.schedules.delete(subject);
    }

    /** A changed rate starts anew; processes drop the reservations that they have when they learn of it. */
    private getSchedule(
        subject: RateSubject,
        ratePerSecond: number,
        isTakingOver: boolean,
        nowMs: number,
        intervalMs: number,
    ): SubjectSchedule {
        const known = this.schedules.get(subject);
        if (known?.ratePerSecond === ratePerSecond) return known;
        // Reservations that this holder doesn't know may start now.
        const isFirst = known === undefined && !isTakingOver;
        const schedule = { ratePerSecond, nextStartMs: isFirst ? nowMs : nowMs + intervalMs };
        this.schedules.set(subject, schedule);
        return schedule;
    }
}
