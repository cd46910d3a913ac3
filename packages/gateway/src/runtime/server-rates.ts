import {
    type Logger,
    nowMs,
    type RateDuty,
    RateReservations,
    RateSchedule,
    type RateStatement,
    type RateSubject,
    type ReservationRequest,
    type ReservationResponse,
    StatedRates,
    Stopwatch,
} from "@skylarkmill/coordination";
import { toId } from "@skylarkmill/protocol";
import type { ServerStart } from "../types/engine.ts";

/** Demands that arise within this time are sent to the holder together. */
const ASK_DELAY_MS = 2;
/** Pause between two requests for reservations if more have begun to wait, and otherwise. */
const ASK_INTERVAL_MS = 5;
const ASK_AGAIN_MS = 100;
/** Time after which the holder is expected to answer again, or another one. */
const HOLDER_RETURN_MS = 2_000;
/** Age of a server's last statement from which it gets a request although others have room, so that it can end its rate. */
const PROBE_AFTER_MS = 1_000;
/** Time for which a reservation for such a request is of use. */
const PROBE_WAIT_MS = 500;
/** Interval at which a call that waits for a reservation checks whether there is one. */
const CALL_CHECK_MS = 50;
/** Time ahead for which such a call gets a reservation. */
const CALL_WAIT_MS = 5_000;
/** Time after which a statement of a server that isn't listed is forgotten; its entry may return after an outage. */
const UNLISTED_VALID_MS = 60_000;

export interface ServerRatesOptions {
    readonly logger: Logger;
    /** Sends a request to the holder; resolves to undefined if it doesn't answer. */
    readonly requestReservations: (request: ReservationRequest) => Promise<ReservationResponse | undefined>;
    /** Called when a request that waits may be sent, or can no longer be sent in time. */
    readonly onChange: () => void;
    /** Called when there is a new statement for other gateways. */
    readonly onStatement: () => void;
    readonly isListed: (server: ServerStart) => boolean;
}

/**
 * Keeps to the rates that servers state for all gateways together. Each request to such a server needs a reservation of
 * the holder, which is the gateway that plans the placement; while no gateway answers as holder, such servers get nothing.
 *
 * @example
 * if (rates.canSend(server.record, request)) {
 *     rates.useReservation(server.record, request);
 *     send(request, server);
 * }
 * else rates.await(server.record, request, deadlineAtMs);
 */
export class ServerRates {
    private readonly stated = new StatedRates();
    private readonly reservations = new RateReservations();
    private readonly schedule = new RateSchedule();
    private askTimer: NodeJS.Timeout | undefined;
    private askAtMs = Infinity;
    private isAsking = false;
    /** Whether there are demands of which the holder doesn't know yet. */
    private hasNewDemand = false;
    private isHolderLost = false;
    private isStopped = false;
    /** Stand for the next request to a server whose last statement is old. */
    private readonly probes = new Map<RateSubject, { readonly untilMs: number; }>();

    constructor(private readonly options: ServerRatesOptions) {}

    /** Requests per second that the server takes from all gateways together; undefined if it states no rate. */
    getRate(server: ServerStart): number | undefined {
        return this.stated.getRate(toSubject(server));
    }

    /** Number of servers that state a rate. */
    get limitedCount(): number {
        return this.stated.limitedCount;
    }

    /** Whether `waiter` may be sent to the server now; one that doesn't wait comes after those that do. */
    canSend(server: ServerStart, waiter: object): boolean {
        const subject = toSubject(server);
        return this.stated.getRate(subject) === undefined || this.reservations.canUse(subject, waiter, nowMs())
            || this.isProbeDue(server);
    }

    /** Uses up a reservation if the server needs one; `canSend` must be true. */
    useReservation(server: ServerStart, waiter: object): void {
        const subject = toSubject(server);
        if (this.stated.getRate(subject) === undefined) return;
        if (this.reservations.tryUse(subject, waiter, nowMs())) return;
        const probe = this.probes.get(subject);
        if (probe !== undefined) this.reservations.tryUse(subject, probe, nowMs());
        this.probes.delete(subject);
    }

    /** Whether the next request should go to the server although others have room, so that it can end its rate. */
    isProbeDue(server: ServerStart): boolean {
        const subject = toSubject(server);
        const probe = this.probes.get(subject);
        return probe !== undefined && this.reservations.canUse(subject, probe, nowMs());
    }

    /** Gets a reservation for a probe if the server's last statement is old; called when a request goes elsewhere. */
    prepareProbe(server: ServerStart): void {
        const subject = toSubject(server);
        const now = nowMs();
        const isOld = this.stated.getRate(subject) !== undefined && this.stated.ageMs(subject, now) > PROBE_AFTER_MS;
        const probe = this.probes.get(subject);
        if (probe !== undefined && (!isOld || probe.untilMs <= now)) {
            this.probes.delete(subject);
            this.reservations.removeWaiter(subject, probe);
        }
        if (!isOld || this.probes.has(subject) || this.reservations.countWaiters(subject) > 0) return;
        const next = { untilMs: now + PROBE_WAIT_MS };
        this.probes.set(subject, next);
        this.await(server, next, next.untilMs);
    }

    /** Waits for a reservation, which is of use until `maxWaitUntilMs`; one that waits already keeps its place. */
    await(server: ServerStart, waiter: object, maxWaitUntilMs: number): void {
        const isNew = this.reservations.addWaiter(toSubject(server), waiter, maxWaitUntilMs, nowMs());
        if (isNew) this.hasNewDemand = true;
        this.scheduleAsk(isNew ? ASK_DELAY_MS : ASK_AGAIN_MS);
    }

    cancelWait(server: ServerStart, waiter: object): void {
        this.reservations.removeWaiter(toSubject(server), waiter);
    }

    /**
     * Time until the waiter, or one that would come last, may send; undefined while that is unknown, and infinite while
     * no holder answers.
     */
    etaMs(server: ServerStart, waiter: object): number | undefined {
        const subject = toSubject(server);
        const now = nowMs();
        if (this.isHolderLost && !this.reservations.isCovered(subject, waiter)) return Infinity;
        const ratePerSecond = this.stated.getRate(subject) ?? Infinity;
        return this.reservations.etaMs(subject, waiter, now, ratePerSecond);
    }

    /** Number of requests of this gateway that wait for a reservation at the server. */
    countWaiters(server: ServerStart): number {
        return this.reservations.countWaiters(toSubject(server));
    }

    /**
     * Reserves a call to the server that is no caller's request. Returns 0 once it may be made, and otherwise the time
     * after which to ask again.
     */
    acquireCallMs(server: ServerStart, caller: object): number {
        if (this.canSend(server, caller)) {
            this.useReservation(server, caller);
            return 0;
        }
        this.await(server, caller, nowMs() + CALL_WAIT_MS);
        return CALL_CHECK_MS;
    }

    /**
     * Records what a response states; `undefined` states that there is no rate.
     *
     * @param sentAtMs Time at which the request was sent, on the monotonic clock.
     */
    recordStatement(server: ServerStart, ratePerSecond: number | undefined, sentAtMs: number): void {
        const subject = toSubject(server);
        if (!this.stated.record(subject, ratePerSecond, sentAtMs)) return;
        this.applyChange(subject);
        this.options.onStatement();
    }

    /** Lists the known statements for other gateways. */
    listStatements(): RateStatement[] {
        const { isListed } = this.options;
        const hasEntry = (subject: RateSubject): boolean => isListed(parseSubject(subject));
        this.stated.retain(hasEntry, UNLISTED_VALID_MS, nowMs());
        this.reservations.retain(hasEntry);
        // Other gateways may still list a server whose entry this one has seen end.
        this.schedule.retain(subject => this.stated.getRate(subject) !== undefined);
        return this.stated.list(nowMs());
    }

    /**
     * Merges the statements that another gateway knows.
     *
     * @param sinceRequest Time since the request was sent to which that gateway responds with them.
     */
    mergeStatements(statements: readonly RateStatement[], sinceRequest?: Stopwatch): void {
        const disputed = this.stated.merge(statements, nowMs() - (sinceRequest?.elapsedMs() ?? 0));
        for (const subject of disputed) this.applyChange(subject);
        if (disputed.length > 0) this.options.onStatement();
    }

    /** Records that a holder answers. */
    recordHolderContact(): void {
        if (!this.isHolderLost) return;
        this.isHolderLost = false;
        this.options.logger.info({ step: "rate.holder" }, "the holder of the rates' duty answers again");
        this.scheduleAsk(ASK_DELAY_MS);
    }

    /** Grants reservations as the holder. */
    grant({ statements, demands }: ReservationRequest, duty: RateDuty): ReservationResponse {
        this.mergeStatements(statements);
        const grants = demands.flatMap(demand => {
            const ratePerSecond = this.stated.getRate(demand.subject);
            return ratePerSecond === undefined ? [] : [this.schedule.reserve(demand, ratePerSecond, duty, nowMs())];
        });
        // Who asks for a rate that has ended long ago must learn of that.
        const asked = demands.map(({ subject }) => subject);
        return { statements: this.stated.listOf(asked, nowMs()), grants, term: duty.term };
    }

    stop(): void {
        this.isStopped = true;
        clearTimeout(this.askTimer);
    }

    private applyChange(subject: RateSubject): void {
        const ratePerSecond = this.stated.getRate(subject);
        const { serverId } = parseSubject(subject);
        const message = ratePerSecond === undefined ? "server states no rate any more" : "server states a rate";
        this.options.logger.info({ step: "server.rate", server: serverId, ratePerSecond }, message);
        this.reservations.voidReservations(subject);
        this.hasNewDemand = true;
        this.scheduleAsk(ASK_DELAY_MS);
        this.options.onChange();
    }

    /** Retry delay of a request that can't be sent since no holder answers. */
    get holderReturnMs(): number {
        return HOLDER_RETURN_MS;
    }

    private scheduleAsk(delayMs: number): void {
        const askAtMs = nowMs() + delayMs;
        const isScheduled = this.askTimer !== undefined && this.askAtMs <= askAtMs;
        if (this.isStopped || this.isAsking || isScheduled || !this.reservations.hasUncovered()) return;
        clearTimeout(this.askTimer);
        this.askAtMs = askAtMs;
        this.askTimer = setTimeout(() => {
            this.askTimer = undefined;
            void this.ask();
        }, delayMs);
    }

    private async ask(): Promise<void> {
        const now = nowMs();
        const demands = this.reservations.listDemands(now);
        if (demands.length === 0) return;
        const sinceRequest = new Stopwatch();
        this.hasNewDemand = false;
        this.isAsking = true;
        const asked = demands.map(({ subject }) => subject);
        const response = await this.request({ statements: this.stated.listOf(asked, now), demands });
        this.isAsking = false;
        if (response === undefined) this.recordHolderLoss();
        else {
            this.recordHolderContact();
            this.mergeStatements(response.statements, sinceRequest);
            for (const grant of response.grants) {
                // This gateway may have learned of another rate meanwhile.
                if (grant.ratePerSecond !== this.stated.getRate(grant.subject)) continue;
                this.reservations.applyGrant(grant, sinceRequest, response.term, nowMs());
            }
        }
        this.options.onChange();
        this.scheduleAsk(response !== undefined && this.hasNewDemand ? ASK_INTERVAL_MS : ASK_AGAIN_MS);
    }

    /** An unexpected error must not end the asking for good. */
    private async request(request: ReservationRequest): Promise<ReservationResponse | undefined> {
        const { requestReservations, logger } = this.options;
        try {
            return await requestReservations(request);
        }
        catch (error) {
            logger.error({ step: "rate.holder", err: error }, "request for reservations failed unexpectedly");
            return undefined;
        }
    }

    private recordHolderLoss(): void {
        if (this.isHolderLost) return;
        this.isHolderLost = true;
        this.options.logger.warn(
            { step: "rate.holder" },
            "no gateway answers as holder of the rates' duty; servers that state a rate get nothing",
        );
    }
}

/** Subjects by server, since each request asks for those of all its servers. */
const subjects = new WeakMap<ServerStart, RateSubject>();

function toSubject(server: ServerStart): RateSubject {
    const known = subjects.get(server);
    if (known !== undefined) return known;
    const subject = toId<RateSubject>(`${server.serverId}@${server.bornAtMs}`);
    subjects.set(server, subject);
    return subject;
}

function parseSubject(subject: RateSubject): ServerStart {
    const separator = subject.lastIndexOf("@");
    return { serverId: toId(subject.slice(0, separator)), bornAtMs: Number(subject.slice(separator + 1)) };
}
