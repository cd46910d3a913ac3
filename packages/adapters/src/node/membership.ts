import type { HostId, UnavailableError } from "@skylarkmill/protocol";
import type { HostEntry, HostList } from "../types/host-list.ts";
import type { Membership } from "../types/membership.ts";

export interface MembershipOptions {
    readonly hostList: HostList;
    /** Delay between the end of one read and the start of the next. @default 1000 */
    readonly pollIntervalMs?: number;
    /** Called when a read fails. */
    readonly onError?: (error: UnavailableError) => void;
}

// A host counts as gone only after both limits: a host missing from a single read may still be alive, and its engine
// may still have models loaded.
const MIN_ABSENT_READ_COUNT = 3;
const MIN_ABSENCE_MS = 10_000;

interface Absence {
    readonly firstMissingMs: number;
    readCount: number;
    lastMissingMs: number;
}

class PolledMembership implements Membership {
    private readonly hostList: HostList;
    private readonly pollIntervalMs: number;
    private readonly onError: (error: UnavailableError) => void;
    private readonly listeners = new Set<() => void>();
    private readonly absences = new Map<HostId, Absence>();
    private entries: readonly HostEntry[] = [];
    private byId = new Map<HostId, HostEntry>();
    private entriesJson = "";
    private lastReadMs: number | undefined;
    private timer: NodeJS.Timeout | undefined;
    private isRunning = false;

    constructor(options: MembershipOptions) {
        this.hostList = options.hostList;
        this.pollIntervalMs = options.pollIntervalMs ?? 1000;
        this.onError = options.onError ?? (() => undefined);
    }

    start(): void {
        if (this.isRunning) return;
        this.isRunning = true;
        void this.poll();
    }

    stop(): void {
        this.isRunning = false;
        clearTimeout(this.timer);
    }

    hosts(): readonly HostEntry[] {
        return this.entries;
    }

    isGone(hostId: HostId): boolean {
        const entry = this.byId.get(hostId);
        if (entry !== undefined) return entry.state === "gone";
        const absence = this.absences.get(hostId);
        if (absence !== undefined) return isLongAbsent(absence);
        this.trackUnlistedHost(hostId);
        return false;
    }

    ageMs(): number {
        return this.lastReadMs === undefined ? Infinity : performance.now() - this.lastReadMs;
    }

    subscribe(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private async poll(): Promise<void> {
        const result = await this.hostList.read();
        if (!this.isRunning) return;
        if (result.isErr()) this.onError(result.error);
        // Empty lists are ignored, because a valid list contains at least the host of the process that reads it.
        else if (result.value.length > 0) this.applyEntries(result.value);
        this.timer = setTimeout(() => void this.poll(), this.pollIntervalMs);
    }

    private applyEntries(entries: readonly HostEntry[]): void {
        const nowMs = performance.now();
        this.lastReadMs = nowMs;
        const previousById = this.byId;
        const isSameList = entries === this.entries;
        this.entries = entries;
        if (!isSameList) this.byId = new Map(entries.map(entry => [entry.hostId, entry]));
        const hasNewLongAbsence = this.updateAbsences(previousById, nowMs);
        const entriesJson = isSameList ? this.entriesJson : JSON.stringify(entries);
        if (entriesJson === this.entriesJson && !hasNewLongAbsence) return;
        this.entriesJson = entriesJson;
        for (const listener of this.listeners) listener();
    }

    /** Updates the absence of each unlisted host; returns whether one of them now counts as gone for the first time. */
    private updateAbsences(previousById: ReadonlyMap<HostId, HostEntry>, nowMs: number): boolean {
        for (const hostId of this.byId.keys()) this.absences.delete(hostId);
        let hasNewLongAbsence = false;
        for (const absence of this.absences.values()) {
            const wasLongAbsent = isLongAbsent(absence);
            absence.readCount++;
            absence.lastMissingMs = nowMs;
            if (!wasLongAbsent && isLongAbsent(absence)) hasNewLongAbsence = true;
        }
        for (const hostId of previousById.keys()) {
            if (this.byId.has(hostId) || this.absences.has(hostId)) continue;
            this.absences.set(hostId, { firstMissingMs: nowMs, lastMissingMs: nowMs, readCount: 1 });
        }
        return hasNewLongAbsence;
    }

    /** Starts tracking the absence of a host that no read so far has listed, such as the holder of an old grant. */
    private trackUnlistedHost(hostId: HostId): void {
        if (this.lastReadMs === undefined) return;
        this.absences.set(hostId, { firstMissingMs: this.lastReadMs, lastMissingMs: this.lastReadMs, readCount: 1 });
    }
}

function isLongAbsent(absence: Absence): boolean {
    return absence.readCount >= MIN_ABSENT_READ_COUNT
        && absence.lastMissingMs - absence.firstMissingMs >= MIN_ABSENCE_MS;
}

/**
 * Creates a membership view that polls the host list and keeps the last successful read.
 *
 * @example
 * const membership = createMembership({ hostList, pollIntervalMs: 1000 });
 * membership.start();
 */
export function createMembership(options: MembershipOptions): Membership {
    return new PolledMembership(options);
}
