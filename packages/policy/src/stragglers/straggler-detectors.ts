import type { ServerId } from "@skylarkmill/protocol";
import type { StragglerDetector } from "../types/policies.ts";
import type { ResolvedStragglerDetector } from "./create-straggler-detector.ts";

/** Baseline: treats every server as normal. */
export class NoDetector implements StragglerDetector {
    record(_serverId: ServerId, _responseMs: number, _expectedResponseMs: number, _nowMs: number): void {}

    recordWaiting(_serverId: ServerId, _waitedMs: number, _expectedResponseMs: number, _nowMs: number): void {}

    slowness(_serverId: ServerId, _nowMs: number): number {
        return 1;
    }

    isStraggler(_serverId: ServerId, _nowMs: number): boolean {
        return false;
    }
}

/** Baseline: uses only the slowness that the servers report. */
export class ReportedDetector extends NoDetector {
    private readonly slownessByServer = new Map<ServerId, number>();

    constructor(private readonly threshold: number) {
        super();
    }

    /** Records the slowness from a server's load report. */
    recordReport(serverId: ServerId, slowness: number): void {
        this.slownessByServer.set(serverId, slowness);
    }

    override slowness(serverId: ServerId, _nowMs: number): number {
        return this.slownessByServer.get(serverId) ?? 1;
    }

    override isStraggler(serverId: ServerId, nowMs: number): boolean {
        return this.slowness(serverId, nowMs) >= this.threshold;
    }
}

interface Observation {
    ratio: number;
    atMs: number;
}

/** Time for which the median over all servers is reused; it changes slowly, and computing it requires a sort. */
const MEDIAN_MAX_AGE_MS = 50;

/**
 * Tracks the ratio of observed to expected response time per server.
 *
 * An attempt without a response counts with its waiting time so far, so a straggler is detected before its first late
 * response. Without new observations the ratio decays to 1, so that a recovered server receives requests again.
 */
export class ObservedDetector implements StragglerDetector {
    private readonly observations = new Map<ServerId, Observation>();
    private medianRatio = 1;
    private medianAtMs = -Infinity;

    constructor(private readonly options: ResolvedStragglerDetector) {}

    record(serverId: ServerId, responseMs: number, expectedResponseMs: number, nowMs: number): void {
        if (!(expectedResponseMs > 0) || !Number.isFinite(responseMs)) return;
        const currentRatio = this.currentRatio(serverId, nowMs);
        const weight = this.options.newWeight;
        const ratio = currentRatio + weight * (Math.max(0, responseMs) / expectedResponseMs - currentRatio);
        this.storeObservation(serverId, ratio, nowMs);
    }

    recordWaiting(serverId: ServerId, waitedMs: number, expectedResponseMs: number, nowMs: number): void {
        if (!(expectedResponseMs > 0)) return;
        const ratio = waitedMs / expectedResponseMs;
        const currentRatio = this.currentRatio(serverId, nowMs);
        // A late attempt at a straggler shows that it has not recovered, so the decay restarts from the stored ratio.
        const isStillSlow = ratio > 1 && currentRatio >= this.options.threshold;
        const previousRatio = isStillSlow ? this.observations.get(serverId)?.ratio ?? currentRatio : currentRatio;
        if (ratio > currentRatio || isStillSlow) this.storeObservation(serverId, Math.max(ratio, previousRatio), nowMs);
    }

    slowness(serverId: ServerId, nowMs: number): number {
        return this.currentRatio(serverId, nowMs) / Math.max(1, this.currentMedianRatio(nowMs));
    }

    isStraggler(serverId: ServerId, nowMs: number): boolean {
        return this.slowness(serverId, nowMs) >= this.options.threshold;
    }

    private currentRatio(serverId: ServerId, nowMs: number): number {
        const observation = this.observations.get(serverId);
        return observation === undefined ? 1 : this.decayedRatio(observation, nowMs);
    }

    private decayedRatio(observation: Observation, nowMs: number): number {
        const ageMs = Math.max(0, nowMs - observation.atMs);
        return 1 + (observation.ratio - 1) * 0.5 ** (ageMs / this.options.halfLifeMs);
    }

    /** Median ratio over all servers; if most are slow, the expected times are wrong and no server is a straggler. */
    private currentMedianRatio(nowMs: number): number {
        if (this.observations.size < 3) return 1;
        if (Math.abs(nowMs - this.medianAtMs) < MEDIAN_MAX_AGE_MS) return this.medianRatio;
        const ratios = [...this.observations.values()].map(observation => this.decayedRatio(observation, nowMs));
        ratios.sort((a, b) => a - b);
        this.medianRatio = ratios[(ratios.length - 1) >>> 1] ?? 1;
        this.medianAtMs = nowMs;
        return this.medianRatio;
    }

    private storeObservation(serverId: ServerId, ratio: number, nowMs: number): void {
        this.observations.delete(serverId);
        this.observations.set(serverId, { ratio, atMs: nowMs });
        if (this.observations.size <= this.options.maxServers) return;
        const [oldestServerId] = this.observations.keys();
        if (oldestServerId !== undefined) this.observations.delete(oldestServerId);
    }
}
