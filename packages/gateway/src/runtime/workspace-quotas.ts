import {
    computeLossMs,
    FixedQuotaPart,
    type Logger,
    nowMs,
    type Quota,
    QUOTA_FORGET_MS,
    type QuotaDuty,
    QuotaLease,
    QuotaLedger,
    type QuotaRequest,
    type QuotaResponse,
    type QuotaSubject,
    Stopwatch,
} from "@skylarkmill/coordination";
import { toId, type WorkspaceId } from "@skylarkmill/protocol";
import type { Workspace, WorkspaceQuota } from "../types/configuration.ts";
import type { CallerRequest } from "../types/engine.ts";

/** Shortest time between two asks; needs that come within it are asked for together. */
const MIN_ASK_GAP_MS = 20;
/** Lower bound on that time per gateway, so that the holder's total rate of asks does not grow with them. */
const ASK_GAP_MS_PER_GATEWAY = 2;
/** Time after which a request without an answer of the holder is refused. */
const MAX_ANSWER_MS = 700;
/** Retry delay of a request for which no holder answers; a holder is replaced in about this time. */
const HOLDER_RETURN_MS = 1_500;

/**
 * What a workspace's quota means for a request.
 *
 * - `admitted`: the quota has room, and the request's part of it is used.
 * - `wait`: the holder has been asked.
 * - `exceeded`: there is no room; `roomInMs` is when there is some for this request, if ever.
 * - `unknown`: no holder answers.
 */
export type QuotaDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "exceeded"; readonly roomInMs: number | undefined; }
    | { readonly kind: "unknown"; readonly retryAfterMs: number; };

/** Use of one workspace's quota at this gateway, for operators. */
export interface QuotaStatus {
    readonly workspace: WorkspaceId;
    readonly unit: WorkspaceQuota["unit"];
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Units that this gateway holds and has not used. */
    readonly held: number;
    readonly waiting: number;
    readonly admitted: number;
    readonly exceeded: number;
}

export interface WorkspaceQuotasOptions {
    /** Name of this gateway. */
    readonly host: string;
    readonly logger: Logger;
    /** Time over which quotas count; undefined if they hold for any length of time. */
    readonly quotaWindowMs: number | undefined;
    readonly getWorkspace: (workspaceId: WorkspaceId) => Workspace | undefined;
    /** Interval at which gateways are in contact with the holder. */
    readonly getIntervalMs: () => number;
    /** Number of known gateways. */
    readonly getGatewayCount: () => number;
    /** This gateway's duty as holder; undefined if another gateway is the holder. */
    readonly getDutyTerm: () => number | undefined;
    /** Sends a request to the holder; resolves to undefined if it doesn't answer. */
    readonly ask: (request: QuotaRequest) => Promise<QuotaResponse | undefined>;
    /** Called when requests that wait may be decided. */
    readonly onChange: () => void;
}

interface WorkspaceState {
    readonly lease: QuotaLease;
    readonly fixedPart: FixedQuotaPart;
    /** Requests that the holder has refused, until they ask for the decision. */
    readonly denied: WeakMap<object, number | undefined>;
    admittedCount: number;
    exceededCount: number;
}

/** Keeps the quotas that workspaces have at all gateways together; one gateway, the holder, shares them out. */
export class WorkspaceQuotas {
    private readonly states = new Map<WorkspaceId, WorkspaceState>();
    private readonly ledger: QuotaLedger;
    private readonly startedAtMs = nowMs();
    private duty: { readonly term: number; readonly since: Stopwatch; } | undefined;
    private sinceContact: Stopwatch | undefined;
    private holderTerm = 0;
    /** Gateways between which the holder shares, as it last said. */
    private processCount = 1;
    private isAsking = false;
    private askTimer: NodeJS.Timeout | undefined;
    private regularTimer: NodeJS.Timeout | undefined;
    private isHolderLost = false;
    private lastAskAtMs = -Infinity;
    private isStopped = false;

    constructor(private readonly options: WorkspaceQuotasOptions) {
        this.ledger = new QuotaLedger(options.getIntervalMs);
    }

    start(): void {
        this.regularTimer = setTimeout(() => {
            this.start();
            this.updateDuty();
            this.updateHolderLoss();
            const hasUse = [...this.states.values()].some(({ lease }) => lease.isActive);
            if (hasUse || this.states.size > 0 && !this.isInTouch) void this.ask();
        }, this.options.getIntervalMs());
    }

    stop(): void {
        this.isStopped = true;
        clearTimeout(this.regularTimer);
        clearTimeout(this.askTimer);
    }

    /** Records that the holder answers this gateway. */
    recordHolderContact(): void {
        this.sinceContact = new Stopwatch();
        if (!this.isHolderLost) return;
        this.isHolderLost = false;
        for (const { fixedPart } of this.states.values()) fixedPart.reset();
        this.options.logger.info({ step: "quota.holder" }, "the holder of the quotas answers again");
    }

    /** Records, at the holder, that a gateway is in touch. */
    recordContact(host: string): void {
        this.ledger.recordContact(host, nowMs());
    }

    /** Decides whether a request is within its workspace's quota; `waiter` stands for it in later calls. */
    decide(request: CallerRequest, waiter: object, waitedMs: number): QuotaDecision {
        const { workspaceId } = request;
        const quota = workspaceId === undefined ? undefined : this.options.getWorkspace(workspaceId)?.quota;
        if (workspaceId === undefined || quota === undefined) return { kind: "admitted" };
        const count = countUnits(request, quota);
        const state = this.getState(workspaceId);
        if (state.denied.has(waiter)) return this.exceed(state, state.denied.get(waiter));
        if (state.lease.tryUse(waiter, count)) return this.admit(state);
        if (this.isHolderLost) return this.decideAlone(state, quota, count, waiter);
        if (waitedMs >= MAX_ANSWER_MS + this.askGapMs) {
            state.lease.removeWaiter(waiter);
            return { kind: "unknown", retryAfterMs: HOLDER_RETURN_MS };
        }
        state.lease.addWaiter(waiter, count);
        this.scheduleAsk();
        return { kind: "wait" };
    }

    /** Ends the wait of a request that is not decided. */
    leave(workspaceId: WorkspaceId | undefined, waiter: object): void {
        if (workspaceId !== undefined) this.states.get(workspaceId)?.lease.removeWaiter(waiter);
    }

    /** Gives back the part of an admitted request that certainly has not run. */
    giveBack(request: CallerRequest): void {
        const { workspaceId } = request;
        const quota = workspaceId === undefined ? undefined : this.options.getWorkspace(workspaceId)?.quota;
        if (workspaceId === undefined || quota === undefined) return;
        this.getState(workspaceId).lease.giveBack(countUnits(request, quota));
    }

    /** Answers another gateway as the holder; undefined if this gateway isn't. */
    answer(request: QuotaRequest): QuotaResponse | undefined {
        this.updateDuty();
        if (this.duty === undefined) return undefined;
        const duty: QuotaDuty = {
            term: this.duty.term,
            heldMs: this.duty.since.elapsedMs(),
            processCount: this.options.getGatewayCount(),
        };
        const getQuota = (subject: QuotaSubject): Quota | undefined => {
            const quota = this.options.getWorkspace(toId<WorkspaceId>(subject))?.quota;
            return quota === undefined ? undefined : { ...quota, windowMs: this.options.quotaWindowMs };
        };
        this.ledger.retain(subject => getQuota(subject) !== undefined);
        return this.ledger.answer(request, getQuota, duty, nowMs());
    }

    listStatus(): QuotaStatus[] {
        return [...this.states].flatMap(([workspaceId, { lease, admittedCount, exceededCount }]) => {
            const quota = this.options.getWorkspace(workspaceId)?.quota;
            if (quota === undefined) return [];
            const { unit, ratePerSecond, burst } = quota;
            const use = {
                held: lease.heldCount,
                waiting: lease.waiterCount,
                admitted: admittedCount,
                exceeded: exceededCount,
            };
            return [{ workspace: workspaceId, unit, ratePerSecond, burst, ...use }];
        });
    }

    private get askGapMs(): number {
        return Math.max(MIN_ASK_GAP_MS, ASK_GAP_MS_PER_GATEWAY * this.options.getGatewayCount());
    }

    private get isInTouch(): boolean {
        return this.sinceContact !== undefined
            && this.sinceContact.elapsedMs() < 2 * this.options.getIntervalMs();
    }

    private getState(workspaceId: WorkspaceId): WorkspaceState {
        let state = this.states.get(workspaceId);
        if (state === undefined) {
            const lease = new QuotaLease(toId<QuotaSubject>(workspaceId), this.options.getIntervalMs);
            const counts = { admittedCount: 0, exceededCount: 0 };
            state = { lease, fixedPart: new FixedQuotaPart(), denied: new WeakMap(), ...counts };
            this.states.set(workspaceId, state);
        }
        return state;
    }

    private admit(state: WorkspaceState): QuotaDecision {
        state.admittedCount += 1;
        return { kind: "admitted" };
    }

    private exceed(state: WorkspaceState, roomInMs: number | undefined): QuotaDecision {
        state.exceededCount += 1;
        return { kind: "exceeded", roomInMs };
    }

    /** Uses this gateway's fixed part of the quota, which the holder withholds from the others. */
    private decideAlone(state: WorkspaceState, quota: Quota, count: number, waiter: object): QuotaDecision {
        state.lease.removeWaiter(waiter);
        const partCount = Math.max(this.processCount, this.options.getGatewayCount());
        const part = { ratePerSecond: quota.ratePerSecond / partCount, burst: quota.burst / partCount };
        const isForgotten = this.sinceContact === undefined || this.sinceContact.elapsedMs() > QUOTA_FORGET_MS / 2;
        if (isForgotten) return { kind: "unknown", retryAfterMs: HOLDER_RETURN_MS };
        if (state.fixedPart.tryUse(count, part, nowMs())) return this.admit(state);
        return this.exceed(state, state.fixedPart.roomInMs(count, part, nowMs()));
    }

    private updateDuty(): void {
        const term = this.options.getDutyTerm();
        if (term !== this.duty?.term) this.duty = term === undefined ? undefined : { term, since: new Stopwatch() };
    }

    private updateHolderLoss(): void {
        const withoutContactMs = this.sinceContact?.elapsedMs() ?? nowMs() - this.startedAtMs;
        if (this.isHolderLost || withoutContactMs < computeLossMs(this.options.getIntervalMs())) return;
        this.isHolderLost = true;
        if (this.states.size > 0) {
            this.options.logger.warn(
                { step: "quota.holder", withoutContactMs: Math.round(withoutContactMs) },
                "no gateway answers as holder of the quotas; fixed parts of them are used",
            );
        }
        this.options.onChange();
    }

    private scheduleAsk(): void {
        if (this.isStopped || this.isAsking || this.askTimer !== undefined) return;
        this.askTimer = setTimeout(() => {
            this.askTimer = undefined;
            void this.ask();
        }, Math.max(1, this.lastAskAtMs + this.askGapMs - nowMs()));
    }

    private async ask(): Promise<void> {
        if (this.isAsking || this.isStopped) return;
        this.isAsking = true;
        this.lastAskAtMs = nowMs();
        const active = [...this.states.values()].filter(({ lease }) => lease.isActive);
        const partCount = Math.max(this.processCount, this.options.getGatewayCount());
        const sinceAsk = new Stopwatch();
        const asks = active.flatMap(({ lease }) => {
            const quota = this.options.getWorkspace(toId<WorkspaceId>(lease.subject))?.quota;
            return quota === undefined ? [] : [lease.createAsk(quota, partCount, this.lastAskAtMs)];
        });
        const response = await this.send({ process: this.options.host, term: this.holderTerm, asks });
        this.isAsking = false;
        if (response !== undefined) this.apply(response, active, sinceAsk);
        if (active.some(({ lease }) => lease.waiterCount > 0)) this.scheduleAsk();
        this.options.onChange();
    }

    private async send(request: QuotaRequest): Promise<QuotaResponse | undefined> {
        const own = this.answer(request);
        if (own !== undefined) return own;
        try {
            return await this.options.ask(request);
        }
        catch (error) {
            this.options.logger.error({ step: "quota.ask", err: error }, "request for quotas failed unexpectedly");
            return undefined;
        }
    }

    private apply(response: QuotaResponse, asked: readonly WorkspaceState[], sinceAsk: Stopwatch): void {
        this.recordHolderContact();
        this.processCount = Math.max(1, response.processCount);
        if (response.term !== this.holderTerm) {
            this.holderTerm = response.term;
            for (const { lease } of this.states.values()) lease.forgetGrants();
        }
        const bySubject = new Map(response.grants.map(grant => [grant.subject, grant]));
        for (const { lease, denied } of asked) {
            const grant = bySubject.get(lease.subject);
            if (grant === undefined) continue;
            const quota = this.options.getWorkspace(toId<WorkspaceId>(lease.subject))?.quota;
            let aheadMs = 0;
            for (const [waiter, { roomInMs, count }] of lease.applyGrant(grant, sinceAsk)) {
                denied.set(waiter, roomInMs === undefined ? undefined : roomInMs + aheadMs);
                // Those that are refused together return one after the other.
                aheadMs += 1_000 * count / (quota?.ratePerSecond ?? Infinity);
            }
        }
    }
}

function countUnits(request: CallerRequest, { unit, defaultTokenCount }: WorkspaceQuota): number {
    if (unit === "requests") return 1;
    return request.hasTokenCount ? request.promptTokenCount + request.maxOutputTokenCount : defaultTokenCount;
}
