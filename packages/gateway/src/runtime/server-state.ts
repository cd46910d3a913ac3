import type { AdapterId, ModelId } from "@skylarkmill/protocol";
import type { ReportedLoad, ServerRecord } from "../types/engine.ts";
import type { PlacedModel } from "../types/placement.ts";
import { PlaceLimit } from "./place-limit.ts";

/** Time for which a server that can't be reached is avoided; doubles with each consecutive failure. */
const MIN_SUSPECT_MS = 400;
const MAX_SUSPECT_MS = 6_400;
/** Time for which a server that refused a request for lack of capacity is avoided. */
const AT_CAPACITY_MS = 100;
/** Time for which no request for a model goes to an engine that lacked it, unless its loaded models change. */
const MISSING_MODEL_MS = 1_000;
/** Request counts of other gateways are refreshed several times a second; counts older than this are ignored. */
const PEER_COUNT_VALID_MS = 1_500;
/** The weight of a reported load falls linearly with its age and reaches zero after this time. */
const REPORTED_LOAD_VALID_MS = 600;
/** Weight of the newest outcome in the moving average of a server's failures. */
const NEWEST_OUTCOME_WEIGHT = 0.2;

/** Time after which half of what news say about a server still holds; requests take some hundred milliseconds. */
const NEWS_HALF_LIFE_MS = 200;

/** What a gateway knows of a server's load. */
export interface KnownLoad {
    readonly ownCount: number;
    /** Requests of all other gateways, by the newest news. */
    readonly otherCount: number;
    /** Part of the news that still holds, by their age; 1 for the present. */
    readonly weight: number;
}

function computeNewsWeight(ageMs: number): number {
    return 0.5 ** (Math.max(0, ageMs) / NEWS_HALF_LIFE_MS);
}

/** Tracks the record, the load and the recent failures of one backend server. */
export class ServerState {
    record: ServerRecord;
    /** Attempts of this gateway in progress. */
    inFlightCount = 0;
    /** Time at which the last byte arrived from the server. */
    lastByteAtMs = -Infinity;
    /** Time until which the server wants nothing from this host. */
    holdUntilMs = -Infinity;
    /** Moving average of failed attempts, 0 to 1. */
    failureRate = 0;
    /** Number of this gateway's requests in progress at the server, by model and adapter. */
    readonly runningByTarget = new Map<string, number>();
    /** Limit of this gateway's requests while the server's room is short. */
    readonly placeLimit = new PlaceLimit();
    private placedModels: readonly PlacedModel[] | undefined;
    /** Adapters of the models that take requests, by model; undefined until it is needed. */
    private adaptersByModel: ReadonlyMap<ModelId, readonly AdapterId[]> | undefined;
    private consecutiveUnreachableCount = 0;
    private suspectUntilMs = -Infinity;
    private atCapacityUntilMs = -Infinity;
    private reportedLoad: ReportedLoad | undefined;
    private reportedLoadAtMs = -Infinity;
    /** Attempts of this gateway in progress at the time of the report. */
    private ownCountAtReport = 0;
    private peerRequestCount = 0;
    private peerRequestCountAtMs = -Infinity;
    private readonly missingUntilMs = new Map<string, number>();

    constructor(record: ServerRecord) {
        this.record = record;
    }

    /** Applies a newer record; a restart of the server resets what was tracked before it. */
    update(record: ServerRecord): void {
        if (record.bornAtMs !== this.record.bornAtMs) {
            this.placedModels = undefined;
            this.adaptersByModel = undefined;
            this.consecutiveUnreachableCount = 0;
            this.failureRate = 0;
            this.suspectUntilMs = -Infinity;
            this.holdUntilMs = -Infinity;
            this.missingUntilMs.clear();
        }
        if (record.models !== this.record.models) this.adaptersByModel = undefined;
        this.record = record;
    }

    /** Sets the server's models as reported by the planner; `undefined` falls back to the server's own record. */
    setPlacedModels(models: readonly PlacedModel[] | undefined): void {
        if (models !== undefined && models !== this.placedModels) this.missingUntilMs.clear();
        this.placedModels = models;
        this.adaptersByModel = undefined;
    }

    hasModel(modelId: ModelId, adapterId: AdapterId | undefined, now: number): boolean {
        const missingUntilMs = this.missingUntilMs.get(formatTargetKey(modelId, adapterId));
        if (missingUntilMs !== undefined && now < missingUntilMs) return false;
        const adapterIds = this.listAdaptersByModel().get(modelId);
        return adapterIds !== undefined && (adapterId === undefined || adapterIds.includes(adapterId));
    }

    private listAdaptersByModel(): ReadonlyMap<ModelId, readonly AdapterId[]> {
        if (this.adaptersByModel === undefined) {
            const models = this.placedModels?.filter(model => !model.leaving) ?? this.record.models;
            this.adaptersByModel = new Map(models.map(model => [model.modelId, model.adapterIds]));
        }
        return this.adaptersByModel;
    }

    isSuspect(now: number): boolean {
        return now < this.suspectUntilMs;
    }

    isAtCapacity(now: number): boolean {
        return now < this.atCapacityUntilMs;
    }

    /** Time for which the server still wants nothing from this host; 0 if it takes requests. */
    holdMs(now: number): number {
        return Math.max(0, this.holdUntilMs - now);
    }

    /** Estimates the requests at the server from the gateways' counts or else its last reported load, by its age. */
    estimateRequestCount(now: number): number {
        if (now - this.peerRequestCountAtMs <= PEER_COUNT_VALID_MS) return this.inFlightCount + this.peerRequestCount;
        const ageMs = now - this.reportedLoadAtMs;
        if (this.reportedLoad === undefined || ageMs > REPORTED_LOAD_VALID_MS) return this.inFlightCount;
        const reported = (this.reportedLoad.runningCount + this.reportedLoad.waitingCount)
            * (1 - ageMs / REPORTED_LOAD_VALID_MS);
        return Math.max(this.inFlightCount, reported);
    }

    /**
     * Describes the load as far as it is known: this gateway's own requests, and those of all others by the newest news.
     *
     * @param hasPeerCounts Whether the gateways exchange how many requests they have at the server.
     */
    describeLoad(now: number, hasPeerCounts: boolean): KnownLoad {
        const ownCount = this.inFlightCount;
        const reported = this.reportedLoad;
        const isReportNewer = !hasPeerCounts || this.reportedLoadAtMs > this.peerRequestCountAtMs;
        if (reported !== undefined && isReportNewer) {
            const otherCount = reported.runningCount + reported.waitingCount - this.ownCountAtReport;
            return {
                ownCount,
                otherCount: Math.max(0, otherCount),
                weight: computeNewsWeight(now - this.reportedLoadAtMs),
            };
        }
        if (!hasPeerCounts) return { ownCount, otherCount: 0, weight: 0 };
        const weight = computeNewsWeight(now - this.peerRequestCountAtMs);
        return { ownCount, otherCount: this.peerRequestCount, weight };
    }

    recordReportedLoad(load: ReportedLoad, now: number): void {
        this.reportedLoad = load;
        this.ownCountAtReport = this.inFlightCount;
        this.reportedLoadAtMs = now;
    }

    /** Sets the number of requests of other gateways in progress at the server. */
    setPeerRequestCount(count: number, now: number): void {
        this.peerRequestCount = count;
        this.peerRequestCountAtMs = now;
    }

    recordUnreachable(now: number): void {
        this.consecutiveUnreachableCount += 1;
        this.recordOutcome(false);
        this.suspectUntilMs = now
            + Math.min(MAX_SUSPECT_MS, MIN_SUSPECT_MS * 2 ** (this.consecutiveUnreachableCount - 1));
    }

    recordReachable(): void {
        this.consecutiveUnreachableCount = 0;
        this.suspectUntilMs = -Infinity;
    }

    recordOutcome(succeeded: boolean): void {
        this.failureRate += NEWEST_OUTCOME_WEIGHT * ((succeeded ? 0 : 1) - this.failureRate);
    }

    /** @param load Load that the server stated in its refusal. */
    recordAtCapacity(now: number, load?: ReportedLoad): void {
        this.atCapacityUntilMs = now + AT_CAPACITY_MS;
        this.placeLimit.recordRefusal(load, this.inFlightCount, now);
    }

    recordMissingModel(modelId: ModelId, adapterId: AdapterId | undefined, now: number): void {
        this.missingUntilMs.set(formatTargetKey(modelId, adapterId), now + MISSING_MODEL_MS);
    }

    beginAttempt(modelId: ModelId | undefined, adapterId: AdapterId | undefined): void {
        this.inFlightCount += 1;
        if (modelId === undefined) return;
        const key = formatTargetKey(modelId, adapterId);
        this.runningByTarget.set(key, (this.runningByTarget.get(key) ?? 0) + 1);
    }

    endAttempt(modelId: ModelId | undefined, adapterId: AdapterId | undefined): void {
        this.inFlightCount -= 1;
        if (modelId === undefined) return;
        const key = formatTargetKey(modelId, adapterId);
        const count = (this.runningByTarget.get(key) ?? 1) - 1;
        if (count === 0) this.runningByTarget.delete(key);
        else this.runningByTarget.set(key, count);
    }
}

/** Key of a model with an optional adapter; no model id contains a slash. */
export function formatTargetKey(modelId: ModelId, adapterId: AdapterId | undefined): string {
    return adapterId === undefined ? modelId : `${modelId}/${adapterId}`;
}

/** Splits a key that `formatTargetKey` built. */
export function parseTargetKey(key: string): { modelId: ModelId; adapterId: AdapterId | undefined; } {
    const slash = key.indexOf("/");
    if (slash < 0) return { modelId: key as ModelId, adapterId: undefined };
    return { modelId: key.slice(0, slash) as ModelId, adapterId: key.slice(slash + 1) as AdapterId };
}
