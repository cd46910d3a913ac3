import type { AdapterId, DataCentre, HostId, ModelId, RequestId, ServerId, ServiceId } from "@skylarkmill/protocol";

/** State of one backend server as a router sees it, for the choice of a server for one request. */
export interface ServerView {
    readonly serverId: ServerId;
    readonly dataCentre: DataCentre;
    /** True if the server has the model loaded; always true for plain services. */
    readonly loaded: boolean;
    readonly loading: boolean;
    /** True if the server has the request's adapter loaded, or if the request needs none. */
    readonly adapterLoaded: boolean;
    /** Position among the model's grants that are not being revoked; undefined without a grant. */
    readonly grantPosition: number | undefined;
    /** Requests that this router sent to the server and that have not finished. */
    readonly outstandingCount: number;
    /** Requests queued and running at the server, from all routers, as last reported. */
    readonly reportedCount: number;
    /** Sum of the expected durations of the requests queued and running at the server, as last reported. */
    readonly backlogMs: number;
    readonly slotCount: number;
    /** Age of the server's last load report. */
    readonly reportAgeMs: number;
    /** Observed response time divided by the expected one; 1 is normal. */
    readonly slowness: number;
    /** Share of the prompt that the server has probably cached, 0 to 1. */
    readonly prefixMatch: number;
    readonly expectedLoadMs: number;
}

/** Properties of a request that the choice of its server depends on. */
export interface ChoiceRequest {
    readonly requestId: RequestId;
    readonly serviceId: ServiceId;
    readonly modelId: ModelId | undefined;
    readonly dataCentre: DataCentre;
    /** Expected duration of the request at an idle server; routers pass the expected time to the first byte. */
    readonly expectedMs: number;
    /** Time left until the deadline. */
    readonly remainingMs: number;
    /** Servers that this request was already sent to. */
    readonly triedServerIds: ReadonlySet<ServerId>;
    /** True for a second attempt while the first is in progress; it is not sent to a straggler. @default false */
    readonly isHedge?: boolean;
}

/** Chooses the backend server of a request; undefined if none is eligible. */
export interface ServerChooser {
    choose(request: ChoiceRequest, servers: readonly ServerView[]): ServerView | undefined;
}

/** One request that waits at a backend server. */
export interface QueueEntry {
    /** Unique among the entries of the queue; an agent uses the attempt id. */
    readonly entryId: RequestId;
    /** 0 to 9; requests with a higher priority start earlier. */
    readonly priority: number;
    readonly enqueuedAtMs: number;
    readonly deadlineAtMs: number;
    /** Expected duration once started. */
    readonly expectedMs: number;
    /** Group of the request in the `DurationEstimator`. */
    readonly group: string;
}

/** Use of a backend server's slots. */
export interface SlotUsage {
    readonly slotCount: number;
    readonly runningCount: number;
    /** Running requests whose expected duration is long (see `QueueOrder.isLong`). */
    readonly runningLongCount: number;
}

/** Order of the requests that wait at one backend server. */
export interface QueueOrder<Entry extends QueueEntry = QueueEntry> {
    readonly size: number;
    push(entry: Entry): void;
    /**
     * Removes and returns the entry to start next, or undefined when none may start now.
     *
     * @param isReady returns whether an entry can start, for example because its model is loaded
     */
    dequeue(nowMs: number, slotUsage: SlotUsage, isReady: (entry: Entry) => boolean): Entry | undefined;
    remove(entryId: RequestId): Entry | undefined;
    entries(): readonly Entry[];
    isLong(expectedMs: number): boolean;
    /**
     * Expected time until the entry would start if it were pushed now, for admission.
     *
     * @param runningMs sum of the expected durations of the running requests
     */
    waitMs?(entry: QueueEntry, slotUsage: SlotUsage, runningMs: number): number;
}

/** A request and the load of its service and queue, as input of the admission. */
export interface AdmissionRequest {
    readonly serviceId: ServiceId;
    readonly nowMs: number;
    readonly deadlineAtMs: number;
    /** Expected duration once started; 0 while unknown. */
    readonly expectedMs: number;
    /** Expected time until the request would start at the chosen server. */
    readonly waitMs: number;
    /** Requests of this service that wait or run in the router or server. */
    readonly serviceRequestCount: number;
    /** Requests of all services that wait or run in the router or server. */
    readonly totalRequestCount: number;
    /** Weight of this service when services share the queue. */
    readonly weight: number;
    /** Sum of the weights of all services. */
    readonly totalWeight: number;
}

export type AdmissionDecision =
    | { readonly admitted: true; }
    | {
        readonly admitted: false;
        readonly code: "queue_full" | "deadline_unreachable";
        readonly retryAfterMs: number;
    };

/** Accepts or refuses a request before it is queued. */
export interface AdmissionPolicy {
    decide(request: AdmissionRequest): AdmissionDecision;
}

/** Estimates durations per group, such as a combination of service, model and class, from recorded ones. */
export interface DurationEstimator {
    expectedMs(group: string, fallbackMs: number): number;
    /** High percentile of the duration, for hedging and admission. */
    highPercentileMs(group: string, fallbackMs: number): number;
    record(group: string, durationMs: number): void;
}

/** Tracks how slow each backend server is and detects stragglers. */
export interface StragglerDetector {
    /** Records how long a server took to respond to an attempt. */
    record(serverId: ServerId, responseMs: number, expectedResponseMs: number, nowMs: number): void;
    /** Records that an attempt has no response yet after `waitedMs`. */
    recordWaiting(serverId: ServerId, waitedMs: number, expectedResponseMs: number, nowMs: number): void;
    /** Observed response time divided by the expected one; 1 is normal. */
    slowness(serverId: ServerId, nowMs: number): number;
    isStraggler(serverId: ServerId, nowMs: number): boolean;
}

/** Decides when a second attempt is sent while the first is in progress, within a budget. */
export interface HedgePolicy {
    /** Refills the hedge budget by the fraction of a hedge that each request allows. */
    recordRequest(nowMs: number): void;
    /**
     * Delay after which a second attempt may be sent; undefined if none may be sent.
     *
     * @param slowness slowness of the first attempt's server
     */
    hedgeDelayMs(expectedResponseMs: number, highPercentileMs: number, slowness: number): number | undefined;
    /** Consumes one hedge from the budget; returns false if the budget is exhausted. */
    tryConsume(nowMs: number): boolean;
}

/** Limits retries to a share of the requests. */
export interface RetryBudget {
    /** Refills the retry budget by the fraction of a retry that each request allows. */
    recordRequest(nowMs: number): void;
    /** Consumes one retry from the budget; returns false if the budget is exhausted. */
    tryConsume(nowMs: number): boolean;
}

/** One backend server, as input of the placement. */
export interface PlacementServer {
    readonly serverId: ServerId;
    readonly hostId: HostId;
    readonly dataCentre: DataCentre;
    readonly memorySizeBytes: number;
    readonly draining: boolean;
    /** Nearest storage of each model's checkpoint on the server; a model that is absent is remote. */
    readonly locality: ReadonlyMap<ModelId, "memory" | "disk" | "remote">;
}

/** One model with its demand and current grants, as input of the placement. */
export interface PlacementModel {
    readonly modelId: ModelId;
    readonly serviceId: ServiceId;
    readonly memoryBytes: number;
    readonly maxReplicas: number;
    /** Recent requests per second; 0 while idle. */
    readonly demandPerSecond: number;
    /** Servers of the existing grants, including grants that are being revoked. */
    readonly grants: readonly { readonly serverId: ServerId; readonly revoking: boolean; }[];
    /** Models that become active at about the same time; they are placed on other servers where possible. */
    readonly activeTogether?: readonly ModelId[];
}

/** A grant to add or to revoke. */
export interface PlacementChange {
    readonly modelId: ModelId;
    readonly kind: "add" | "revoke";
    readonly serverId: ServerId;
    readonly reason: string;
}

/** Decides which backend servers get the grants of each model; a grant permits a server to load one replica. */
export interface PlacementPolicy {
    plan(models: readonly PlacementModel[], servers: readonly PlacementServer[]): readonly PlacementChange[];
}

/** A model that is loaded, or could be loaded, on one backend server, as input of the residency policy. */
export interface ResidencyModel {
    readonly modelId: ModelId;
    readonly memoryBytes: number;
    /** Requests in progress that use the model. */
    readonly inUseCount: number;
    readonly lastUsedAtMs: number;
    readonly loadedAtMs: number;
    /** Expected duration of loading the model again. */
    readonly reloadMs: number;
    /** Arrival times of recent requests, oldest first, at most 16. */
    readonly arrivalsAtMs: readonly number[];
}

/** Decides which models stay in the memory of one backend server. */
export interface ResidencyPolicy {
    /** Idle models to unload now because keeping them costs more than the expected reload. */
    chooseIdleModels(resident: readonly ResidencyModel[], nowMs: number): readonly ModelId[];
    /** Models to unload so that `neededBytes` become free; undefined when idle models don't free enough memory. */
    chooseEvictions(
        resident: readonly ResidencyModel[],
        freeBytes: number,
        neededBytes: number,
        nowMs: number,
    ): readonly ModelId[] | undefined;
    /** Models to load ahead of demand, the most urgent first. */
    choosePrefetches(absent: readonly ResidencyModel[], freeBytes: number, nowMs: number): readonly ModelId[];
}

/** Decides how many replicas of a model should be loaded now, at most one per grant. */
export interface ScalingPolicy {
    wantedReplicas(input: ScalingInput): number;
}

/** Replicas, backlog and load time of one model, as input of the scaling. */
export interface ScalingInput {
    readonly loadedCount: number;
    readonly grantCount: number;
    /** Sum of the expected durations of the queued requests. */
    readonly backlogMs: number;
    readonly loadMs: number;
    /** Requests that one replica runs at the same time. */
    readonly slotCount: number;
}

/** Tracks which prompt prefixes each backend server has probably cached. */
export interface PrefixAffinity {
    /** Records that a server processed a prompt. */
    record(serverId: ServerId, modelId: ModelId, adapterId: AdapterId | undefined, prompt: string, nowMs: number): void;
    /** Returns the share of the prompt that the server has probably cached, 0 to 1. */
    match(
        serverId: ServerId,
        modelId: ModelId,
        adapterId: AdapterId | undefined,
        prompt: string,
        nowMs: number,
    ): number;
}
