import { type Logger, nowMs } from "@skylarkmill/coordination";
import type { PromptPartId, ServerId } from "@skylarkmill/protocol";
import type { CrashEvidence } from "../types/crash-evidence.ts";

/** Ends of engines closer together than this count as one, since they may have a common cause such as a lost rack. */
const MIN_END_SPACING_MS = 400;
/** Number of ends after which requests with the part are refused. */
const REFUSED_END_COUNT = 3;
/** A part with which an answer began within this time is not suspected. */
const SOUND_MS = 3_000;
/** Duration of the first refusal; doubles with each engine that the part ends afterwards, up to the maximum. */
const MIN_REFUSAL_MS = 30_000;
const MAX_REFUSAL_MS = 600_000;
/** A part that ended no engine for this time, beyond its refusal, is forgotten. */
const EVIDENCE_VALID_MS = 60_000;
/** Callers may send any number of different parts, so only the last ones are kept. */
const MAX_SUSPECT_COUNT = 256;
const MAX_SOUND_COUNT = 4_096;
const MAX_END_COUNT = 8;

/** What may be done with a request now. */
export type CrashDecision =
    | { readonly kind: "send"; }
    /** A request with a suspected part is at an engine; its outcome tells whether the part is sound. */
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; readonly retryAfterMs: number; };

interface Suspect {
    /** Increases each time an answer began with the part, which voids earlier evidence. */
    generation: number;
    /** Times of the ends, by the engine's start. */
    readonly endsAtMs: Map<string, number>;
    changedAtMs: number;
}

export interface CrashSuspectsOptions {
    readonly logger: Logger;
    /** Called when there is new evidence for other gateways. */
    readonly onChange: () => void;
}

/**
 * Tracks the parts of prompts with which engines end before they begin an answer. A part under suspicion is sent to one
 * engine at a time; after several ends, requests with it are refused for a while. Evidence is merged between gateways.
 *
 * @example
 * const suspects = new CrashSuspects({ logger, onChange: () => synchronizer.scheduleDemand() });
 * if (suspects.decide(request.sharedPromptParts).kind === "send") send(request);
 */
export class CrashSuspects {
    private readonly suspects = new Map<PromptPartId, Suspect>();
    /** Times at which an answer last began with a part, the oldest first. */
    private readonly answeredAtMs = new Map<PromptPartId, number>();
    /** Number of requests at engines that have no answer yet, by part. */
    private readonly unansweredCounts = new Map<PromptPartId, number>();

    constructor(private readonly options: CrashSuspectsOptions) {}

    decide(parts: readonly PromptPartId[]): CrashDecision {
        let decision: CrashDecision = { kind: "send" };
        const now = nowMs();
        for (const part of parts) {
            const suspect = this.suspects.get(part);
            if (suspect === undefined || suspect.endsAtMs.size === 0) continue;
            const refusedMs = computeRefusedUntilMs(suspect) - now;
            if (refusedMs > 0) return { kind: "refuse", retryAfterMs: refusedMs };
            if ((this.unansweredCounts.get(part) ?? 0) > 0) decision = { kind: "wait" };
        }
        return decision;
    }

    beginAttempt(parts: readonly PromptPartId[]): void {
        for (const part of parts) this.unansweredCounts.set(part, (this.unansweredCounts.get(part) ?? 0) + 1);
    }

    /** Called once for each attempt, when it has an answer or ends without one. */
    endAttempt(parts: readonly PromptPartId[]): void {
        for (const part of parts) {
            const count = (this.unansweredCounts.get(part) ?? 1) - 1;
            if (count === 0) this.unansweredCounts.delete(part);
            else this.unansweredCounts.set(part, count);
        }
    }

    /** Records that an engine began an answer, which shows that none of the parts ends engines. */
    recordAnswer(parts: readonly PromptPartId[]): void {
        const now = nowMs();
        for (const part of parts) {
            this.answeredAtMs.delete(part);
            this.answeredAtMs.set(part, now);
            if (this.answeredAtMs.size > MAX_SOUND_COUNT) deleteFirst(this.answeredAtMs);
            const suspect = this.suspects.get(part);
            if (suspect !== undefined && suspect.endsAtMs.size > 0) this.clear(part, suspect.generation + 1);
        }
    }

    /** Records that the connection to an engine broke while a request without an answer was at it. */
    recordEngineEnd(serverId: ServerId, bornAtMs: number, parts: readonly PromptPartId[]): void {
        const now = nowMs();
        let isNew = false;
        for (const part of parts) {
            if (this.isSound(part, now)) continue;
            const suspect = this.suspects.get(part) ?? this.add(part);
            // An engine ends once for each start, however many of its connections break.
            const endKey = `${serverId}@${bornAtMs}`;
            if (suspect.endsAtMs.has(endKey)) continue;
            this.addEnd(suspect, endKey, now);
            this.logEvidence(part, suspect);
            isNew = true;
        }
        if (isNew) this.options.onChange();
    }

    /** Lists the evidence for other gateways. */
    listEvidence(): CrashEvidence[] {
        const now = nowMs();
        this.removeOutdated(now);
        return [...this.suspects].map(([part, { generation, endsAtMs }]) => ({
            part,
            generation,
            ends: [...endsAtMs].map(([engine, atMs]) => ({ engine, ageMs: Math.max(0, Math.round(now - atMs)) })),
        }));
    }

    /** Merges another gateway's evidence; the result does not depend on the order of messages. */
    mergeEvidence(evidence: readonly CrashEvidence[]): void {
        const now = nowMs();
        for (const { part, generation, ends } of evidence) {
            const existing = this.suspects.get(part);
            if (existing !== undefined && generation < existing.generation) continue;
            // Evidence of another gateway can't stand against answers that began here.
            if (ends.length > 0 && this.isSound(part, now)) {
                this.clear(part, generation + 1);
                continue;
            }
            if (existing === undefined && ends.length === 0) continue;
            const suspect = existing ?? this.add(part);
            if (generation > suspect.generation) this.reset(suspect, generation);
            for (const { engine, ageMs } of ends) {
                if (suspect.endsAtMs.has(engine)) continue;
                this.addEnd(suspect, engine, now - ageMs);
                this.logEvidence(part, suspect);
            }
        }
        this.removeOutdated(now);
    }

    private isSound(part: PromptPartId, now: number): boolean {
        return now - (this.answeredAtMs.get(part) ?? -Infinity) < SOUND_MS;
    }

    private add(part: PromptPartId): Suspect {
        const suspect: Suspect = { generation: 0, endsAtMs: new Map(), changedAtMs: nowMs() };
        this.suspects.set(part, suspect);
        if (this.suspects.size > MAX_SUSPECT_COUNT) this.removeLeastSuspected(part);
        return suspect;
    }

    private addEnd(suspect: Suspect, endKey: string, atMs: number): void {
        suspect.endsAtMs.set(endKey, atMs);
        suspect.changedAtMs = nowMs();
        if (suspect.endsAtMs.size > MAX_END_COUNT) deleteFirst(suspect.endsAtMs);
    }

    private clear(part: PromptPartId, generation: number): void {
        const suspect = this.suspects.get(part) ?? this.add(part);
        this.reset(suspect, generation);
        this.options.logger.info({ step: "suspect.clear", part }, "an answer began with a suspected part of a prompt");
        this.options.onChange();
    }

    private reset(suspect: Suspect, generation: number): void {
        suspect.generation = generation;
        suspect.endsAtMs.clear();
        suspect.changedAtMs = nowMs();
    }

    private removeLeastSuspected(except: PromptPartId): void {
        let least: PromptPartId | undefined;
        for (const [part, { endsAtMs }] of this.suspects) {
            const leastCount = least === undefined ? Infinity : this.suspects.get(least)!.endsAtMs.size;
            if (part !== except && endsAtMs.size < leastCount) least = part;
        }
        if (least !== undefined) this.suspects.delete(least);
    }

    private removeOutdated(now: number): void {
        for (const [part, suspect] of this.suspects) {
            const lastMs = Math.max(suspect.changedAtMs, computeRefusedUntilMs(suspect));
            if (now - lastMs >= EVIDENCE_VALID_MS) this.suspects.delete(part);
        }
    }

    private logEvidence(part: PromptPartId, suspect: Suspect): void {
        const refusedMs = Math.round(computeRefusedUntilMs(suspect) - nowMs());
        const fields = { step: "suspect.end", part, engines: [...suspect.endsAtMs.keys()] };
        if (refusedMs > 0) {
            this.options.logger.warn({ ...fields, refusedMs }, "a part of a prompt ends engines and is refused");
        }
        else {this.options.logger.info(
                fields,
                "an engine ended before it answered a request with this part of a prompt",
            );}
    }
}

/** Time until which requests with the part are refused, from the ends that are apart from each other. */
function computeRefusedUntilMs({ endsAtMs }: Suspect): number {
    let count = 0;
    let lastMs = -Infinity;
    for (const atMs of [...endsAtMs.values()].sort((a, b) => a - b)) {
        if (atMs - lastMs < MIN_END_SPACING_MS) continue;
        count += 1;
        lastMs = atMs;
    }
    if (count < REFUSED_END_COUNT) return -Infinity;
    return lastMs + Math.min(MAX_REFUSAL_MS, MIN_REFUSAL_MS * 2 ** (count - REFUSED_END_COUNT));
}

function deleteFirst<K>(map: Map<K, unknown>): void {
    const first = map.keys().next();
    if (first.done !== true) map.delete(first.value);
}
