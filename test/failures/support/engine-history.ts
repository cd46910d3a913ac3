import type { JournalEvent } from "@skylarkmill/stand-ins";

/** A model that occupies memory of one engine, as the engine's own journal shows it. */
interface ResidentModel {
    readonly engine: string;
    readonly modelId: string;
    readonly memoryBytes: number;
}

/** Replicas that operators decided from a moment on. */
export interface ReplicaDecision {
    readonly fromMs: number;
    readonly replicas: number;
}

export interface Limits {
    /** Replicas per model; a plain number holds for the whole run. */
    readonly replicas: Readonly<Record<string, number | readonly ReplicaDecision[]>>;
    readonly memorySizeBytes?: number;
}

// An accepted configuration is in force everywhere after this time.
const CONFIG_IN_FORCE_MS = 5_000;
const FREEING_KINDS = new Set(["load_failed", "unload_finished"]);

/**
 * Replays engine journals and lists every moment at which an engine starts a load that brings a model above its
 * decided number, or an engine above its memory.
 *
 * @example
 * expect(findViolations(await cluster.journal("engine-1", "engine-2"), { replicas: { diagnosis: 1 } })).toEqual([]);
 */
export function findViolations(events: readonly JournalEvent[], limits: Limits): string[] {
    const residents = new Map<string, ResidentModel>();
    const violations: string[] = [];
    for (const event of sortEvents(events)) {
        const modelId = String(event.modelId);
        const key = `${event.source}/${modelId}`;
        if (FREEING_KINDS.has(event.kind)) residents.delete(key);
        if (event.kind === "overcommit") violations.push(`${describeEvent(event)}: overcommit`);
        if (event.kind !== "load_started") continue;
        residents.set(key, { engine: event.source, modelId, memoryBytes: Number(event.memoryBytes) });
        const all = [...residents.values()];
        const replicas = all.filter(resident => resident.modelId === modelId).length;
        const allowed = replicasAllowedAt(limits.replicas[modelId] ?? 0, event.atMs);
        if (replicas > allowed) violations.push(`${describeEvent(event)}: ${replicas} replicas, ${allowed} decided`);
        const usedBytes = all.filter(({ engine }) => engine === event.source)
            .reduce((sum, resident) => sum + resident.memoryBytes, 0);
        const sizeBytes = limits.memorySizeBytes ?? Infinity;
        if (usedBytes > sizeBytes) violations.push(`${describeEvent(event)}: ${usedBytes} of ${sizeBytes} bytes`);
    }
    return violations;
}

/** Engines at which the model occupies memory at the end of the journal. */
export function enginesWith(events: readonly JournalEvent[], modelId: string): string[] {
    const engines = new Set<string>();
    for (const event of sortEvents(events)) {
        if (event.modelId !== modelId) continue;
        if (event.kind === "load_started") engines.add(event.source);
        if (FREEING_KINDS.has(event.kind)) engines.delete(event.source);
    }
    return [...engines].sort();
}

/** Events of one kind, of one model or all, after a moment of wall-clock time. */
export function eventsOf(
    events: readonly JournalEvent[],
    kind: string,
    filter: { readonly modelId?: string; readonly source?: string; readonly afterMs?: number; } = {},
): JournalEvent[] {
    return events.filter(event =>
        event.kind === kind
        && (filter.modelId === undefined || event.modelId === filter.modelId)
        && (filter.source === undefined || event.source === filter.source)
        && event.atMs > (filter.afterMs ?? 0)
    );
}

/** Within one millisecond of different engines, what frees memory comes first. */
function sortEvents(events: readonly JournalEvent[]): JournalEvent[] {
    const rank = (event: JournalEvent): number => (FREEING_KINDS.has(event.kind) ? 0 : 1);
    return [...events].sort((a, b) => a.atMs - b.atMs || (a.source === b.source ? a.seq - b.seq : rank(a) - rank(b)));
}

/** The number in force; until a lower one is in force everywhere, the number before it still counts. */
function replicasAllowedAt(decided: number | readonly ReplicaDecision[], atMs: number): number {
    if (typeof decided === "number") return decided;
    const started = decided.filter(({ fromMs }) => fromMs <= atMs);
    const lastInForce = started.findLastIndex(({ fromMs }) => fromMs + CONFIG_IN_FORCE_MS <= atMs);
    return Math.max(0, ...started.slice(Math.max(0, lastInForce)).map(({ replicas }) => replicas));
}

function describeEvent(event: JournalEvent): string {
    return `${event.source} ${event.kind} ${String(event.modelId)} (event ${event.seq})`;
}
