import { toId } from "@skylarkmill/protocol";
import { randomBytes } from "node:crypto";
import type { RateStatement, RateSubject, StatementId } from "../types/shared-rates.ts";

/** Time for which other processes are told that a rate has ended, so that none of them brings it back. */
const ENDED_RATE_VALID_MS = 10_000;

interface Statement {
    readonly statementId: StatementId;
    readonly ratePerSecond: number | undefined;
    readonly statedAtMs: number;
    /** Some process knows or knew a rate, so others must learn of its end. */
    readonly isOfInterest: boolean;
}

/**
 * Keeps the rates that subjects state in their responses. Responses overtake each other, so the statement counts whose
 * request was sent last. Statements of other processes are merged by their age, in any order.
 *
 * @example
 * const rates = new StatedRates();
 * rates.record(subject, 4, nowMs());
 * rates.getRate(subject); // 4
 */
export class StatedRates {
    private readonly statements = new Map<RateSubject, Statement>();
    private readonly limited = new Set<RateSubject>();

    /** Requests per second that the subject takes from all processes together; undefined if it states no rate. */
    getRate(subject: RateSubject): number | undefined {
        return this.statements.get(subject)?.ratePerSecond;
    }

    /** Time since the request was sent whose response made the last statement. */
    ageMs(subject: RateSubject, nowMs: number): number {
        return nowMs - (this.statements.get(subject)?.statedAtMs ?? -Infinity);
    }

    /** Number of subjects that state a rate. */
    get limitedCount(): number {
        return this.limited.size;
    }

    /**
     * Records a statement; `undefined` states that there is no rate.
     *
     * @param statedAtMs Time at which the request was sent that was responded to.
     * @returns Whether the rate changed.
     */
    record(
        subject: RateSubject,
        ratePerSecond: number | undefined,
        statedAtMs: number,
        statementId = createStatementId(),
    ): boolean {
        const known = this.statements.get(subject);
        if (known !== undefined && known.statedAtMs >= statedAtMs) return false;
        const isOfInterest = known?.isOfInterest === true || ratePerSecond !== undefined;
        this.statements.set(subject, { statementId, ratePerSecond, statedAtMs, isOfInterest });
        if (ratePerSecond === undefined) this.limited.delete(subject);
        else this.limited.add(subject);
        return known?.ratePerSecond !== ratePerSecond;
    }

    /**
     * Merges statements of another process; returns the subjects on which the two processes disagreed.
     *
     * @param listedAtMs Time at which the other process listed them, or an earlier one: a statement must not become
     *     younger on its way.
     */
    merge(statements: readonly RateStatement[], listedAtMs: number): RateSubject[] {
        const disputed = statements.filter(({ subject, statementId, ratePerSecond, ageMs }) => {
            const before = this.getRate(subject);
            // A copy that returns seems younger by the time that it was on its way.
            if (statementId === this.statements.get(subject)?.statementId) return false;
            this.record(subject, ratePerSecond, listedAtMs - ageMs, statementId);
            const known = this.statements.get(subject)!;
            if (known.ratePerSecond !== ratePerSecond) this.statements.set(subject, { ...known, isOfInterest: true });
            return before !== ratePerSecond;
        });
        return disputed.map(({ subject }) => subject);
    }

    /** Lists the statements for other processes. */
    list(nowMs: number): RateStatement[] {
        return [...this.statements]
            .filter(([, { ratePerSecond, statedAtMs, isOfInterest }]) =>
                ratePerSecond !== undefined || isOfInterest && nowMs - statedAtMs <= ENDED_RATE_VALID_MS
            )
            .map(([subject, statement]) => toRateStatement(subject, statement, nowMs));
    }

    /** Lists the statements on some subjects, also of rates that ended long ago. */
    listOf(subjects: readonly RateSubject[], nowMs: number): RateStatement[] {
        return subjects.flatMap(subject => {
            const statement = this.statements.get(subject);
            return statement === undefined ? [] : [toRateStatement(subject, statement, nowMs)];
        });
    }

    /** Forgets the statements that were made longer ago than `validMs` by subjects that aren't listed. */
    retain(isListed: (subject: RateSubject) => boolean, validMs: number, nowMs: number): void {
        for (const [subject, { statedAtMs }] of this.statements) {
            if (nowMs - statedAtMs <= validMs || isListed(subject)) continue;
            this.statements.delete(subject);
            this.limited.delete(subject);
        }
    }
}

function toRateStatement(
    subject: RateSubject,
    { statementId, ratePerSecond, statedAtMs }: Statement,
    nowMs: number,
): RateStatement {
    return { subject, statementId, ratePerSecond, ageMs: Math.max(0, Math.round(nowMs - statedAtMs)) };
}

function createStatementId(): StatementId {
    return toId<StatementId>(randomBytes(6).toString("base64url"));
}
