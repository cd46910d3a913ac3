import type { JournalEvent } from "@skylarkmill/stand-ins";

/** A model that occupies memory of one engine according to the engine's journal. */
interface ResidentModel {
    readonly engine: string;
    readonly modelId: string;
    readonly memoryBytes: number;
}

/** Maximum number of replicas from a wall-clock time on. */
export interface ReplicaLimit {
    readonly fromMs: number;
    readonly replicas: number;
}

export interface JournalLimits {
    /** Maximum number of replicas per model; a plain number applies to the whole run. */
    readonly replicas: Readonly<Record<string, number | readonly ReplicaLimit[]>>;
    readonly memorySizeBytes?: number;
}

// Time after which an accepted configuration is in force in every process.
const CONFIG_IN_FORCE_MS = 5_000;
const FREEING_KINDS = new Set(["load_failed", "unload_finished"]);

/**
 * Replays engine journals and lists every load that exceeds the allowed replicas of its model or the memory of its
 * engine, and every overcommit that an engine reports.
 *
 * @example
 * expect(findViolations(await cluster.journal("engine-1", "engine-2"), { replicas: { diagnosis: 1 } })).toEqual([]);
 */
export function findViolations(events: readonly JournalEvent[], limits: JournalLimits): string[] {
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
        if (replicas > allowed) violations.push(`${describeEvent(event)}: ${replicas} replicas, ${allowed} allowed`);
        const usedBytes = all.filter(({ engine }) => engine === event.source)
            .reduce((sum, resident) => sum + resident.memoryBytes, 0);
        const sizeBytes = limits.memorySizeBytes ?? Infinity;
        if (usedBytes > sizeBytes) violations.push(`${describeEvent(event)}: ${usedBytes} of ${sizeBytes} bytes`);
    }
    return violations;
}

/** Engines that have the model in memory at the end of the journal. */
export function enginesWithModel(events: readonly JournalEvent[], modelId: string): string[] {
    const engines = new Set<string>();
    for (const event of sortEvents(events)) {
        if (event.modelId !== modelId) continue;
        if (event.kind === "load_started") engines.add(event.source);
        if (FREEING_KINDS.has(event.kind)) engines.delete(event.source);
    }
    return [...engines].sort();
}

/** Events of one kind, optionally of one model or source, after a wall-clock time. */
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

/** Sorts by time; of events of different engines in the same millisecond, those that free memory come first. */
function sortEvents(events: readonly JournalEvent[]): JournalEvent[] {
    const rank = (event: JournalEvent): number => (FREEING_KINDS.has(event.kind) ? 0 : 1);
    return [...events].sort((a, b) => a.atMs - b.atMs || (a.source === b.source ? a.seq - b.seq : rank(a) - rank(b)));
}

/** The allowed replicas at a time. An earlier, higher limit applies until the later one is in force everywhere. */
function replicasAllowedAt(limit: number | readonly ReplicaLimit[], atMs: number): number {
    if (typeof limit === "number") return limit;
    const started = limit.filter(({ fromMs }) => fromMs <= atMs);
    const lastInForce = started.findLastIndex(({ fromMs }) => fromMs + CONFIG_IN_FORCE_MS <= atMs);
    return Math.max(0, ...started.slice(Math.max(0, lastInForce)).map(({ replicas }) => replicas));
}

function describeEvent(event: JournalEvent): string {
    return `${event.source} ${event.kind} ${String(event.modelId)} (event ${event.seq})`;
}
