import type {
    Quota,
    QuotaAsk,
    QuotaDuty,
    QuotaGrant,
    QuotaRequest,
    QuotaResponse,
    QuotaSubject,
} from "../types/shared-quotas.ts";
import { UseWindow } from "./use-window.ts";

/** Part of the burst that all processes together may have ahead of their needs. */
export const QUOTA_AHEAD_SHARE = 0.5;
/** Leases of processes that measure their length with another interval must end before the holder forgets them. */
const LEASE_MARGIN_FACTOR = 1.5;
/** A use that is larger than the burst needs this part of it and leaves a debt, since it would never fit. */
const OVERSIZE_SHARE = 0.5;
/** Time constant of the demand that was refused; callers return within a few seconds. */
const REFUSED_DECAY_MS = 2_000;
/** Longest time that is named for a return, since demand ends sooner than callers would come. */
const MAX_ROOM_MS = 10_000;
/** Contacts of a process without which it counts as out of touch, as a multiple of the interval. */
const TOUCH_INTERVALS = 3;
/** Time after which a process without contact is forgotten; it then has no part of its own any more. */
export const QUOTA_FORGET_MS = 30_000;

/** Time for which a process may use what it got, counted from its ask; `intervalMs` is that of its contacts. */
export function computeLeaseMs(intervalMs: number): number {
    return Math.max(1_000, 3 * intervalMs);
}

/** Time for which units for a need that has waited can be used, counted from the ask. */
export const QUOTA_NEED_VALID_MS = 300;

/** Time without contact after which a process uses its fixed part; the holder withholds that part well before. */
export function computeLossMs(intervalMs: number): number {
    return 2 * TOUCH_INTERVALS * intervalMs;
}

/** What one process has of one quota, as far as the holder knows. */
interface Holding {
    heldCount: number;
    heardAtMs: number;
    /** Units ahead of needs that the process may have received since. */
    pending: { readonly grant: number; readonly count: number; readonly atMs: number; }[];
}

interface Account {
    /** Units that can be given out. */
    level: number;
    updatedAtMs: number;
    readonly holdings: Map<string, Holding>;
    /** What was used lately, as far as the holder knows. */
    readonly uses: UseWindow;
    /** Units that were refused lately and will be asked for again. */
    refusedCount: number;
    /** Units for needs that may still be used. */
    needed: { readonly count: number; readonly atMs: number; }[];
}

/**
 * Shares out quotas between processes as the holder of that duty. What can be given out and what processes hold unused
 * never exceeds the burst together, so whatever they use in any time keeps the quota, whoever uses it and however late
 * that is reported. A holder that begins with nothing leaves room for what an earlier one may have given out.
 *
 * @example
 * const ledger = new QuotaLedger(() => 250);
 * ledger.recordContact("edge-1", nowMs());
 * ledger.answer(request, subject => quotas.get(subject), { term: 7, heldMs: 60_000, processCount: 5 }, nowMs());
 */
export class QuotaLedger {
    private readonly accounts = new Map<QuotaSubject, Account>();
    private readonly contacts = new Map<string, number>();
    private term: number | undefined;
    private nextGrant = 1;

    /** @param getIntervalMs Returns the interval at which processes are in contact with the holder. */
    constructor(private readonly getIntervalMs: () => number) {}

    private get leaseMs(): number {
        return LEASE_MARGIN_FACTOR * computeLeaseMs(this.getIntervalMs());
    }

    recordContact(process: string, nowMs: number): void {
        this.contacts.set(process, nowMs);
    }

    answer(
        { process, term: askedTerm, asks }: QuotaRequest,
        getQuota: (subject: QuotaSubject) => Quota | undefined,
        duty: QuotaDuty,
        nowMs: number,
    ): QuotaResponse {
        if (duty.term !== this.term) this.accounts.clear();
        this.term = duty.term;
        this.recordContact(process, nowMs);
        const share = this.computeShare(duty, nowMs);
        const grants = asks.flatMap(ask => {
            const quota = getQuota(ask.subject);
            if (quota === undefined) return [];
            const shared = { ...quota, ratePerSecond: quota.ratePerSecond * share, burst: quota.burst * share };
            const known = askedTerm === duty.term ? ask : { ...ask, receivedGrant: 0, returnedCount: 0 };
            return [this.answerOne(process, known, shared, duty, nowMs)];
        });
        return { term: duty.term, processCount: this.contacts.size, grants };
    }

    /** Forgets the subjects that are not listed any more. */
    retain(isListed: (subject: QuotaSubject) => boolean): void {
        for (const subject of this.accounts.keys()) if (!isListed(subject)) this.accounts.delete(subject);
    }

    /**
     * Processes out of touch use fixed parts, which aren't given out meanwhile. A process asks one holder at a time, so a
     * holder that has lost its duty without knowing it shares out little more than what its last processes would use.
     */
    private computeShare({ processCount }: QuotaDuty, nowMs: number): number {
        let inTouchCount = 0;
        for (const [process, atMs] of this.contacts) {
            if (nowMs - atMs > QUOTA_FORGET_MS) this.contacts.delete(process);
            else if (nowMs - atMs <= TOUCH_INTERVALS * this.getIntervalMs()) inTouchCount += 1;
        }
        return inTouchCount / Math.max(1, this.contacts.size, processCount);
    }

    private answerOne(process: string, ask: QuotaAsk, quota: Quota, { heldMs }: QuotaDuty, nowMs: number): QuotaGrant {
        const isTakingOver = heldMs < this.leaseMs;
        const account = this.accounts.get(ask.subject)
            ?? {
                level: isTakingOver ? 0 : quota.burst,
                updatedAtMs: nowMs,
                holdings: new Map<string, Holding>(),
                needed: [],
                uses: new UseWindow(),
                refusedCount: 0,
            };
        this.accounts.set(ask.subject, account);
        const known = account.holdings.get(process);
        const holding = known ?? { heldCount: 0, heardAtMs: nowMs, pending: [] };
        account.holdings.set(process, holding);
        if (known !== undefined) account.uses.add(countUsedAhead(known, ask), nowMs);
        holding.heldCount = ask.heldCount;
        holding.heardAtMs = nowMs;
        holding.pending = holding.pending.filter(({ grant }) => grant > ask.receivedGrant);
        account.refusedCount *= Math.exp((account.updatedAtMs - nowMs) / REFUSED_DECAY_MS);
        // A holder that begins doesn't know what was used in the window before.
        account.uses.sum((quota.windowMs ?? 0) + QUOTA_NEED_VALID_MS, nowMs);
        const windowMs = heldMs < (quota.windowMs ?? Infinity) + this.leaseMs ? undefined : quota.windowMs;
        const addedRate = windowMs === undefined ? 0 : quota.burst * 1_000 / windowMs;
        const refill = (quota.ratePerSecond + addedRate) * (nowMs - account.updatedAtMs) / 1_000;
        account.updatedAtMs = nowMs;
        const outstanding = this.countOutstanding(account, holding, nowMs);
        const room = Math.max(0, quota.burst - Math.max(outstanding, this.estimateUnknown(quota, heldMs)));
        account.level = Math.min(account.level + refill + ask.returnedCount, room);
        return this.grant(ask, { ...quota, windowMs }, account, holding, nowMs);
    }

    /** Estimates what an earlier holder may have given out that can still be used. */
    private estimateUnknown({ burst }: Quota, heldMs: number): number {
        if (heldMs >= this.leaseMs) return 0;
        return heldMs < QUOTA_NEED_VALID_MS ? burst : QUOTA_AHEAD_SHARE * burst;
    }

    /** Returns what may still be given out in the quota's window. */
    private computeWindowRoom({ ratePerSecond, burst, windowMs }: Quota, account: Account, nowMs: number): number {
        if (windowMs === undefined) return Infinity;
        const usedCount = account.uses.sum(windowMs + QUOTA_NEED_VALID_MS, nowMs);
        let aheadCount = 0;
        for (const { heldCount, pending } of account.holdings.values()) {
            aheadCount += pending.reduce((sum, { count }) => sum + count, heldCount);
        }
        return ratePerSecond * windowMs / 1_000 + burst - usedCount - aheadCount;
    }

    private grant(ask: QuotaAsk, quota: Quota, account: Account, holding: Holding, nowMs: number): QuotaGrant {
        const { subject, needs, expectedCount } = ask;
        const windowRoom = this.computeWindowRoom(quota, account, nowMs);
        const available = Math.min(account.level, windowRoom);
        let coveredNeeds = 0;
        let neededCount = 0;
        while (coveredNeeds < needs.length && neededCount + computeRoom(needs[coveredNeeds]!, quota) <= available) {
            neededCount += needs[coveredNeeds]!;
            coveredNeeds += 1;
        }
        const missed = needs[coveredNeeds];
        const mostAhead = QUOTA_AHEAD_SHARE * quota.burst / Math.max(1, this.contacts.size);
        const aheadCount = missed === undefined
            ? Math.max(0, Math.floor(Math.min(expectedCount, mostAhead, available - neededCount)))
            : 0;
        account.level -= neededCount + aheadCount;
        account.uses.add(neededCount, nowMs);
        if (neededCount > 0) account.needed.push({ count: neededCount, atMs: nowMs });
        const grant = aheadCount > 0 ? this.nextGrant++ : 0;
        if (aheadCount > 0) holding.pending.push({ grant, count: aheadCount, atMs: nowMs });
        const roomInMs = missed === undefined ? undefined : computeRoomInMs(missed, quota, account, windowRoom, nowMs);
        for (const need of needs.slice(coveredNeeds)) account.refusedCount += need;
        return { subject, coveredNeeds, neededCount, grant, aheadCount, roomInMs };
    }

    /** Sums up what processes may still use. */
    private countOutstanding(account: Account, asking: Holding, nowMs: number): number {
        const { holdings } = account;
        account.needed = account.needed.filter(({ atMs }) => nowMs - atMs < QUOTA_NEED_VALID_MS);
        let sum = account.needed.reduce((total, { count }) => total + count, 0);
        for (const [process, holding] of holdings) {
            const ended = holding.pending.filter(({ atMs }) => nowMs - atMs >= this.leaseMs);
            holding.pending = holding.pending.filter(({ atMs }) => nowMs - atMs < this.leaseMs);
            // What a process doesn't report in time counts as used.
            for (const { count } of ended) account.uses.add(count, nowMs);
            if (nowMs - holding.heardAtMs >= this.leaseMs) {
                account.uses.add(holding.heldCount, nowMs);
                holding.heldCount = 0;
            }
            const isEmpty = holding.heldCount === 0 && holding.pending.length === 0;
            if (isEmpty && holding !== asking) holdings.delete(process);
            sum += holding.pending.reduce((total, { count }) => total + count, holding.heldCount);
        }
        return sum;
    }
}

/** Returns what must be left for a use of `count` units. */
function computeRoom(count: number, { burst }: Quota): number {
    return count > burst ? OVERSIZE_SHARE * burst : count;
}

/** Time until there is room for a use, behind those that were refused before and return. */
function computeRoomInMs(
    count: number,
    quota: Quota,
    { level, refusedCount, uses }: Account,
    windowRoom: number,
    nowMs: number,
): number | undefined {
    const { ratePerSecond, burst, windowMs } = quota;
    if (burst <= 0 || ratePerSecond <= 0) return undefined;
    const missingCount = Math.max(0, computeRoom(count, quota) - level);
    const roomInMs = 1_000 * (missingCount + refusedCount) / ratePerSecond;
    const windowMissing = computeRoom(count, quota) - windowRoom;
    const freedInMs = windowMs === undefined ? 0 : uses.timeUntilFreedMs(windowMissing, windowMs, nowMs);
    return Math.min(MAX_ROOM_MS, Math.max(roomInMs, freedInMs));
}

/** Returns how many units ahead of needs a process has used since its last ask; negative if it gives more back. */
function countUsedAhead({ heldCount, pending }: Holding, ask: QuotaAsk): number {
    const received = pending.filter(({ grant }) => grant <= ask.receivedGrant);
    const hadCount = received.reduce((sum, { count }) => sum + count, heldCount);
    return hadCount - ask.heldCount - ask.returnedCount;
}
