import type { AdapterId, DataCentre, HostId, ModelId, RequestId, ServerId, ServiceId } from "@skylarkmill/protocol";

/** What a router knows of one backend server for one request. */
export interface ServerView {
    readonly serverId: ServerId;
    readonly dataCentre: DataCentre;
    /** The model is loaded there; always true for plain services. */
    readonly loaded: boolean;
    readonly loading: boolean;
    readonly adapterLoaded: boolean;
    /** Position among the model's non-revoking grants; undefined without a grant. */
    readonly grantPosition: number | undefined;
    /** Requests that this router has outstanding there. */
    readonly outstandingCount: number;
    /** Requests queued and running there, as last reported. */
    readonly reportedCount: number;
    /** Sum of the expected durations of the requests queued and running there, as last reported. */
    readonly backlogMs: number;
    readonly slotCount: number;
    /** Age of the report. */
    readonly reportAgeMs: number;
    /** Observed time divided by expected time; 1 is normal. */
    readonly slowness: number;
    /** Share of the prompt that is likely cached there, 0 to 1. */
    readonly prefixMatch: number;
    readonly expectedLoadMs: number;
}

export interface ChoiceRequest {
    readonly requestId: RequestId;
    readonly serviceId: ServiceId;
    readonly modelId: ModelId | undefined;
    readonly dataCentre: DataCentre;
    readonly expectedMs: number;
    readonly remainingMs: number;
    /** Servers that this request was already sent to. */
    readonly tried: ReadonlySet<ServerId>;
    /** A second attempt while another is in progress; it is not sent to a straggler. @default false */
    readonly hedge?: boolean;
}

/** Chooses the backend server of a request. */
export interface ServerChooser {
    choose(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined;
}

/** One request that waits at a backend server. */
export interface QueueEntry {
    readonly requestId: RequestId;
    /** 0 to 9, higher goes first. */
    readonly priority: number;
    readonly enqueuedAtMs: number;
    readonly deadlineAtMs: number;
    readonly expectedMs: number;
    /** The scheduling group, such as a model or a service. */
    readonly group: string;
}

export interface RunningWork {
    readonly slotCount: number;
    readonly runningCount: number;
    /** Running requests whose expected duration is long (see `QueueOrder.isLong`). */
    readonly runningLongCount: number;
}

/** Order of the requests that wait at one backend server. */
export interface QueueOrder<Entry extends QueueEntry = QueueEntry> {
    readonly size: number;
    push(entry: Entry): void;
    /** Removes and returns the entry to start next, or undefined when none may start now. */
    next(nowMs: number, running: RunningWork, ready: (entry: Entry) => boolean): Entry | undefined;
    remove(requestId: RequestId): Entry | undefined;
    entries(): readonly Entry[];
    isLong(expectedMs: number): boolean;
    /** Expected time until the entry would start if it was pushed now, for admission. */
    waitMs?(entry: QueueEntry, running: RunningWork, runningMs: number): number;
}

export interface AdmissionRequest {
    readonly serviceId: ServiceId;
    readonly nowMs: number;
    readonly deadlineAtMs: number;
    readonly expectedMs: number;
    /** Time until work that is ahead is done, at the chosen server. */
    readonly waitMs: number;
    /** Requests of this service in the router or server. */
    readonly serviceCount: number;
    readonly totalCount: number;
    readonly weight: number;
    readonly totalWeight: number;
}

export type AdmissionDecision =
    | { readonly admitted: true; }
    | {
        readonly admitted: false;
        readonly code: "queue_full" | "deadline_unreachable";
        readonly retryAfterMs: number;
    };

export interface AdmissionPolicy {
    decide(request: AdmissionRequest): AdmissionDecision;
}

/** Expected durations, learned per service, model and class. */
export interface DurationEstimator {
    expectedMs(group: string, fallbackMs: number): number;
    /** A high percentile of the duration, for hedging and admission. */
    highMs(group: string, fallbackMs: number): number;
    record(group: string, durationMs: number): void;
}

/** How slow each backend server is, from what this process observed. */
export interface StragglerDetector {
    record(serverId: ServerId, observedMs: number, expectedMs: number, nowMs: number): void;
    /** An attempt is still without an answer after `waitedMs`. */
    recordWaiting(serverId: ServerId, waitedMs: number, expectedMs: number, nowMs: number): void;
    /** Observed time divided by expected time; 1 is normal. */
    slowness(serverId: ServerId, nowMs: number): number;
    isStraggler(serverId: ServerId, nowMs: number): boolean;
}

export interface HedgePolicy {
    /** Counts one request towards the hedge budget. */
    recordRequest(nowMs: number): void;
    /** Delay after which a second attempt may be sent; undefined for never. */
    hedgeAfterMs(expectedMs: number, highMs: number, slowness: number): number | undefined;
    /** Takes one hedge from the budget. */
    tryTake(nowMs: number): boolean;
}

export interface RetryBudget {
    recordRequest(nowMs: number): void;
    tryTake(nowMs: number): boolean;
}

/** One backend server as the placement sees it. */
export interface PlacementServer {
    readonly serverId: ServerId;
    readonly hostId: HostId;
    readonly dataCentre: DataCentre;
    readonly memorySizeBytes: number;
    readonly draining: boolean;
    /** Where each model's checkpoint lies on that server; absent means remote. */
    readonly locality: ReadonlyMap<ModelId, "memory" | "disk" | "remote">;
}

export interface PlacementModel {
    readonly modelId: ModelId;
    readonly serviceId: ServiceId;
    readonly memoryBytes: number;
    readonly maxReplicas: number;
    /** Recent requests per second; 0 while idle. */
    readonly demandPerSecond: number;
    /** Servers of the grants that exist, revoking ones included. */
    readonly grantedTo: readonly { readonly serverId: ServerId; readonly revoking: boolean; }[];
    /** Models that become active at about the same time; kept on other servers where possible. */
    readonly activeTogether?: readonly ModelId[];
}

export interface PlacementChange {
    readonly modelId: ModelId;
    readonly kind: "add" | "revoke";
    readonly serverId: ServerId;
    readonly reason: string;
}

/** Decides which backend servers hold the grants of each model. */
export interface PlacementPolicy {
    plan(models: readonly PlacementModel[], servers: readonly PlacementServer[]): readonly PlacementChange[];
}

/** A loaded model as the residency decision sees it. */
export interface ResidentModel {
    readonly modelId: ModelId;
    readonly memoryBytes: number;
    readonly inUseCount: number;
    readonly lastUsedAtMs: number;
    readonly loadedAtMs: number;
    readonly reloadMs: number;
    /** Arrival times of recent requests, oldest first, at most 16. */
    readonly arrivalsAtMs: readonly number[];
}

/** Decides what stays in the memory of one backend server. */
export interface ResidencyPolicy {
    /** Models to unload now because staying costs more than a likely reload. */
    idleModels(resident: readonly ResidentModel[], nowMs: number): readonly ModelId[];
    /** Models to unload so that `neededBytes` become free; undefined when that can't be reached. */
    evictions(
        resident: readonly ResidentModel[],
        freeBytes: number,
        neededBytes: number,
        nowMs: number,
    ): readonly ModelId[] | undefined;
    /** Absent models worth a prefetch, most likely first. */
    prefetches(absent: readonly ResidentModel[], freeBytes: number, nowMs: number): readonly ModelId[];
}

/** Decides how many of a model's grants should be loaded now. */
export interface ScalingPolicy {
    wantedReplicas(input: ScalingInput): number;
}

export interface ScalingInput {
    readonly loadedCount: number;
    readonly grantCount: number;
    readonly queuedMs: number;
    readonly loadMs: number;
    readonly slotCount: number;
}

/** Remembers which prompt prefixes are likely cached where. */
export interface PrefixAffinity {
    record(serverId: ServerId, modelId: ModelId, adapterId: AdapterId | undefined, prompt: string, nowMs: number): void;
    match(
        serverId: ServerId,
        modelId: ModelId,
        adapterId: AdapterId | undefined,
        prompt: string,
        nowMs: number,
    ): number;
}
