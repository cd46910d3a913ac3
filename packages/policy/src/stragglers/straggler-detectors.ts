import type { ServerId } from "@skylarkmill/protocol";
import type { StragglerDetector } from "../types/policies.ts";
import type { ResolvedStragglerDetector } from "./create-straggler-detector.ts";

/** Baseline: every server counts as normal. */
export class NoDetector implements StragglerDetector {
    record(_serverId: ServerId, _observedMs: number, _expectedMs: number, _nowMs: number): void {}

    recordWaiting(_serverId: ServerId, _waitedMs: number, _expectedMs: number, _nowMs: number): void {}

    slowness(_serverId: ServerId, _nowMs: number): number {
        return 1;
    }

    isStraggler(_serverId: ServerId, _nowMs: number): boolean {
        return false;
    }
}

/** Baseline: believes only what the servers report of themselves. */
export class ReportedDetector extends NoDetector {
    private readonly reported = new Map<ServerId, number>();

    constructor(private readonly threshold: number) {
        super();
    }

    /** Takes the slowness from a server's own load report. */
    report(serverId: ServerId, slowness: number): void {
        this.reported.set(serverId, slowness);
    }

    override slowness(serverId: ServerId, _nowMs: number): number {
        return this.reported.get(serverId) ?? 1;
    }

    override isStraggler(serverId: ServerId, nowMs: number): boolean {
        return this.slowness(serverId, nowMs) >= this.threshold;
    }
}

interface Observation {
    ratio: number;
    atMs: number;
}

/** The median over all servers changes slowly and costs a sort, so it is not taken for every request. */
const TYPICAL_INTERVAL_MS = 50;

/**
 * Compares what this process observed with what it expected, per server.
 *
 * An attempt that still waits counts with its waiting time so far, so a straggler shows before its first
 * late answer. Without new observations the ratio returns to 1, so a recovered server is tried again.
 */
export class ObservedDetector implements StragglerDetector {
    private readonly observations = new Map<ServerId, Observation>();
    private typical = 1;
    private typicalAtMs = -Infinity;

    constructor(private readonly options: ResolvedStragglerDetector) {}

    record(serverId: ServerId, observedMs: number, expectedMs: number, nowMs: number): void {
        if (!(expectedMs > 0) || !Number.isFinite(observedMs)) return;
        const current = this.ratio(serverId, nowMs);
        const weight = this.options.newWeight;
        const ratio = current + weight * (Math.max(0, observedMs) / expectedMs - current);
        this.keep(serverId, ratio, nowMs);
    }

    recordWaiting(serverId: ServerId, waitedMs: number, expectedMs: number, nowMs: number): void {
        if (!(expectedMs > 0)) return;
        const ratio = waitedMs / expectedMs;
        const current = this.ratio(serverId, nowMs);
        // A late attempt at a straggler shows that it has not recovered, so the decay starts again from the full ratio.
        const stillSlow = ratio > 1 && current >= this.options.threshold;
        const knownRatio = stillSlow ? this.observations.get(serverId)?.ratio ?? current : current;
        if (ratio > current || stillSlow) this.keep(serverId, Math.max(ratio, knownRatio), nowMs);
    }

    slowness(serverId: ServerId, nowMs: number): number {
        return this.ratio(serverId, nowMs) / Math.max(1, this.typicalRatio(nowMs));
    }

    isStraggler(serverId: ServerId, nowMs: number): boolean {
        return this.slowness(serverId, nowMs) >= this.options.threshold;
    }

    private ratio(serverId: ServerId, nowMs: number): number {
        const observation = this.observations.get(serverId);
        return observation === undefined ? 1 : this.decayed(observation, nowMs);
    }

    private decayed(observation: Observation, nowMs: number): number {
        const ageMs = Math.max(0, nowMs - observation.atMs);
        return 1 + (observation.ratio - 1) * 0.5 ** (ageMs / this.options.halfLifeMs);
    }

    /** Median over all servers: when most are slow, the expectation is wrong and none is a straggler. */
    private typicalRatio(nowMs: number): number {
        if (this.observations.size < 3) return 1;
        if (Math.abs(nowMs - this.typicalAtMs) < TYPICAL_INTERVAL_MS) return this.typical;
        const ratios = [...this.observations.values()].map(observation => this.decayed(observation, nowMs));
        ratios.sort((a, b) => a - b);
        this.typical = ratios[(ratios.length - 1) >>> 1] ?? 1;
        this.typicalAtMs = nowMs;
        return this.typical;
    }

    private keep(serverId: ServerId, ratio: number, nowMs: number): void {
        this.observations.delete(serverId);
        this.observations.set(serverId, { ratio, atMs: nowMs });
        if (this.observations.size <= this.options.maxServers) return;
        const [oldest] = this.observations.keys();
        if (oldest !== undefined) this.observations.delete(oldest);
    }
}
