import { type Logger, nowMs, Stopwatch } from "@skylarkmill/coordination";
import type { EngineModelOrder, EngineModelsPolicy, EngineSnapshot, ModelSnapshot } from "@skylarkmill/policy";
import type { AdapterId, ModelId, ServerId, ServiceId } from "@skylarkmill/protocol";
import type { EngineProfile, GatewayConfiguration } from "../types/configuration.ts";
import type { ServerStart } from "../types/engine.ts";
import type {
    DemandMessage,
    EngineCommand,
    EngineRequestTotal,
    EngineState,
    ModelEta,
    PlacedEngine,
    PlacementState,
} from "../types/placement.ts";
import { AdapterPlanner } from "./adapter-planner.ts";
import { ArrivalRateTracker } from "./arrival-rate-tracker.ts";
import { ClusterDemandTracker, type ReportedEngine } from "./cluster-demand-tracker.ts";
import { RecentCommands } from "./recent-commands.ts";
import type { ServerDirectory } from "./server-directory.ts";
import { formatTargetKey, type ServerState } from "./server-state.ts";
import { StoreLoadLimit } from "./store-load-limit.ts";

/** Interval at which the placement is planned, in addition to planning on changes of demand. */
const PLAN_INTERVAL_MS = 100;
/** Arrival rate assumed at the start for a busy model, in requests per second. */
const INITIAL_BUSY_RATE_PER_SECOND = 1.2;
/** A model counts as busy at the start if at least this many engines have it loaded: busy ones have several copies. */
const MIN_BUSY_COPY_COUNT = 3;
/**
 * Added to an engine's load time for the preceding unload, the confirmation of the load and the propagation of the new
 * placement to the gateways.
 */
const LOAD_OVERHEAD_MS = 250;
/** Changes within this time are sent in one response; loads on several engines often complete together. */
const NOTIFY_DELAY_MS = 8;
/** Largest share of this process's time that planning may take. */
const MAX_PLANNING_SHARE = 0.2;
/** The set of engines counts as complete if none joined for this time; heartbeats arrive within it. */
const JOIN_QUIET_MS = 1_000;
/**
 * Number of running and waiting requests per loaded copy of a model above which a further copy is wanted, since it
 * shortens the requests' processing steps.
 */
const REQUESTS_PER_COPY = 16;

export interface PlacementPlannerOptions {
    readonly directory: ServerDirectory;
    readonly policy: EngineModelsPolicy;
    readonly logger: Logger;
    /** Requests per second that an engine takes; undefined if it states no rate. */
    readonly getServerRate: (server: ServerStart) => number | undefined;
    /** Number of concurrent loads up to which the weight store delivers at full speed. */
    readonly maxStoreLoadCount: number;
    readonly getConfiguration: () => GatewayConfiguration | undefined;
    /** Revision at which this gateway joined, while it is the oldest member; undefined otherwise. */
    readonly getTerm: () => number | undefined;
    /** Demand of the gateway in this process. */
    readonly createOwnDemand: () => DemandMessage;
    /** Sends a command to the gateway that may send orders to the engine. */
    readonly sendCommand: (address: string, command: EngineCommand) => void;
}

interface DescribedEngine extends EngineSnapshot {
    readonly isLoadingFromStore: boolean;
    /** The engine is reachable and doesn't limit its rate. */
    readonly takesOrders: boolean;
}

interface PlacedVersion {
    /** Undefined if no gateway reports the engine any more. */
    readonly engine: PlacedEngine | undefined;
    /** Model that the engine is loading. */
    readonly load: ModelId | undefined;
    readonly signature: string;
    readonly version: number;
}

/**
 * Decides which engine loads which models and adapters. The oldest gateway plans, without a lock: two planners at the
 * same time cause at most an unnecessary command, since only the holder of an engine's order right sends orders to it.
 */
export class PlacementPlanner {
    private readonly options: PlacementPlannerOptions;
    private readonly demand = new ClusterDemandTracker();
    private readonly recentCommands = new RecentCommands();
    private readonly lastModelOrders = new Map<ServerId, EngineModelOrder>();
    /** Loads in progress, with the time at which the planner first received them in a report. */
    private readonly loadsInProgress = new Map<ServerId, { readonly load: ModelId; readonly sinceMs: number; }>();
    private readonly arrivalRates = new ArrivalRateTracker();
    private readonly storeLoadLimit: StoreLoadLimit;
    private readonly adapterPlanner: AdapterPlanner;
    private readonly listeners = new Set<() => void>();
    private readonly joinedAtMs = new Map<ServerId, number>();
    private planTimer: NodeJS.Timeout | undefined;
    private schedulePlanTimer: NodeJS.Timeout | undefined;
    private nextPlanAtMs = -Infinity;
    /** Calls that wait for the next plan. */
    private readonly planWaiters: (() => void)[] = [];
    private version = 0;
    private readonly placedVersions = new Map<ServerId, PlacedVersion>();
    private notifyTimer: NodeJS.Timeout | undefined;
    private etas: readonly ModelEta[] = [];
    private hasInitialRates = false;
    /** The term in which this gateway plans, and the time since it began. */
    private planning: { readonly term: number; readonly since: Stopwatch; } | undefined;

    constructor(options: PlacementPlannerOptions) {
        this.options = options;
        const { directory, sendCommand } = options;
        this.storeLoadLimit = new StoreLoadLimit(options.maxStoreLoadCount);
        this.adapterPlanner = new AdapterPlanner({
            directory,
            getServerRate: options.getServerRate,
            sendCommand,
            demand: this.demand,
            arrivalRates: this.arrivalRates,
            commands: this.recentCommands,
        });
    }

    start(): void {
        this.planTimer = setInterval(() => this.planAll(), PLAN_INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.planTimer);
        clearTimeout(this.schedulePlanTimer);
        clearTimeout(this.notifyTimer);
        for (const resolve of this.planWaiters.splice(0)) resolve();
    }

    get isActive(): boolean {
        return this.options.getTerm() !== undefined;
    }

    /** Time for which this gateway has been the planner without a break. */
    get activeMs(): number {
        this.trackTerm();
        return this.planning?.since.elapsedMs() ?? 0;
    }

    private trackTerm(): void {
        const term = this.options.getTerm();
        if (term === this.planning?.term) return;
        this.planning = term === undefined ? undefined : { term, since: new Stopwatch() };
    }

    /** Increases with each change of the placement within a term. */
    get placementVersion(): number {
        return this.version;
    }

    /** Number of gateways that sent their demand recently. */
    get gatewayCount(): number {
        return this.demand.gatewayCount;
    }

    /** Registers a listener for changes of the placement state; returns a function that removes it. */
    onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    receiveDemand(message: DemandMessage): void {
        const now = nowMs();
        this.demand.recordMessage(message, now);
        for (const { modelId, adapterId, count } of message.arrivals) {
            this.recordArrival(modelId, adapterId, count, now);
        }
        if (message.engines !== undefined) this.updatePlacedVersions(message.engines, now);
        if (message.waiting.length > 0) this.schedulePlan();
    }

    /** Schedules one planning run for all changes that arrive at about the same time. */
    schedulePlan(): void {
        this.schedulePlanTimer ??= setTimeout(() => {
            this.schedulePlanTimer = undefined;
            this.planAll();
            for (const resolve of this.planWaiters.splice(0)) resolve();
        }, Math.max(1, this.nextPlanAtMs - nowMs()));
    }

    /** Returns estimates for the models that a gateway's requests wait for, after a plan that takes them into account. */
    async estimateWaiting({ waiting }: DemandMessage): Promise<readonly ModelEta[]> {
        if (waiting.length === 0) return [];
        await new Promise<void>(resolve => {
            this.planWaiters.push(resolve);
            this.schedulePlan();
        });
        const modelIds = new Set(waiting.map(entry => entry.modelId));
        return this.etas.filter(eta => modelIds.has(eta.modelId));
    }

    /** Whether an engine whose placement changed after a version loads or has loaded a model that a gateway waits for. */
    hasChangeFor(gateway: string, sinceVersion: number): boolean {
        for (const { engine, load, version } of this.placedVersions.values()) {
            if (version <= sinceVersion || engine === undefined) continue;
            if (load !== undefined && this.demand.isWaitingFor(gateway, load)) return true;
            if (engine.models.some(({ modelId }) => this.demand.isWaitingFor(gateway, modelId))) return true;
        }
        return false;
    }

    /** Returns the whole placement state, or its changes since a version of the same term. */
    getState(since?: { readonly term: number; readonly version: number; }): PlacementState {
        const term = this.options.getTerm() ?? 0;
        const isPartial = since !== undefined && since.term === term && since.version > 0;
        const fromVersion = isPartial ? since.version : 0;
        const engines: PlacedEngine[] = [];
        const removed: ServerId[] = [];
        for (const [serverId, { engine, version }] of this.placedVersions) {
            if (version <= fromVersion) continue;
            if (engine === undefined) removed.push(serverId);
            else engines.push(engine);
        }
        const { version, etas } = this;
        return { term, version, isPartial, engines, removed, etas, gatewayCount: this.demand.gatewayCount };
    }

    /** Counts the requests of all gateways in progress at each engine. */
    countRunningTotals(): EngineRequestTotal[] {
        return this.demand.countRunningTotals();
    }

    private planAll(): void {
        this.trackTerm();
        const configuration = this.options.getConfiguration();
        if (!this.isActive || configuration === undefined) return;
        const now = nowMs();
        this.receiveDemand(this.options.createOwnDemand());
        this.demand.expireMessages(now);
        this.removeUnreportedEngines();
        for (const { serviceId, engine } of configuration.services.values()) {
            if (engine !== undefined) this.planService(serviceId, engine, now);
        }
        const endedAtMs = nowMs();
        this.nextPlanAtMs = endedAtMs + (endedAtMs - now) / MAX_PLANNING_SHARE;
    }

    private planService(serviceId: ServiceId, profile: EngineProfile, now: number): void {
        const enginesById = this.demand.listEngines();
        const engines = this.describeEngines(serviceId, profile, enginesById, now);
        if (engines.length === 0) return;
        const isEngineSetComplete = this.recordJoins(engines, now);
        if (isEngineSetComplete) this.setInitialRates(engines, now);
        const models = this.describeModels(profile, now);
        this.trackStoreLoads(profile, now);
        const orders = this.options.policy.plan({
            engines,
            models,
            storeLoadCount: this.countStoreLoads(engines),
            maxStoreLoadCount: this.storeLoadLimit.value,
            allowsPrefetch: isEngineSetComplete,
            requestsPerCopy: REQUESTS_PER_COPY,
        });
        for (const order of orders) this.sendModelOrder(order, enginesById, now);
        this.adapterPlanner.plan(profile, enginesById, now);
        this.etas = this.estimateEtas(engines, models, now);
    }

    private trackStoreLoads(profile: EngineProfile, now: number): void {
        const limitBefore = this.storeLoadLimit.value;
        const loads = [...this.demand.listEngines().values()].flatMap(({ state: { serverId, job } }) =>
            job?.origin === "store"
                ? [{ serverId, fullSpeedMs: profile.models.get(job.load)?.storeLoadMs ?? job.expectedMs }]
                : []
        );
        this.storeLoadLimit.update(loads, now, this.countOtherOrders());
        const { value } = this.storeLoadLimit;
        if (value === limitBefore) return;
        this.options.logger.info(
            { step: "placement.store_loads", limit: value, before: limitBefore },
            "the weight store delivers another number of loads at full speed",
        );
    }

    /** Counts loads from the weight store; an order of an earlier holder may be one, but never keeps the last place. */
    private countStoreLoads(engines: readonly DescribedEngine[]): number {
        const knownCount = engines.filter(engine => engine.isLoadingFromStore).length;
        return knownCount + Math.min(this.countOtherOrders(), this.storeLoadLimit.value - 1);
    }

    /** Counts orders in progress that the engines' holders didn't send. */
    private countOtherOrders(): number {
        return [...this.demand.listEngines().values()].filter(({ state }) => state.hasOtherOrder).length;
    }

    private sendModelOrder(
        order: EngineModelOrder,
        enginesById: ReadonlyMap<ServerId, ReportedEngine>,
        now: number,
    ): void {
        const engine = enginesById.get(order.serverId);
        if (engine === undefined) return;
        const { serverId, load, unload, origin, reason } = order;
        this.options.logger.info(
            { step: "placement.order", server: serverId, load, unload, origin, reason },
            "model order planned",
        );
        this.recentCommands.record(serverId, now);
        this.lastModelOrders.set(serverId, order);
        this.options.sendCommand(engine.address, { kind: "model", serverId, load, unload, origin });
    }

    private describeEngines(
        serviceId: ServiceId,
        profile: EngineProfile,
        enginesById: ReadonlyMap<ServerId, ReportedEngine>,
        now: number,
    ): DescribedEngine[] {
        const running = this.demand.runningCountsByEngine;
        const adapterMemoryMb = profile.maxAdapters
            * Math.max(0, ...[...profile.models.values()].map(model => model.adapterSizeMb));
        const servers = this.options.directory.listNotDraining(serviceId);
        const copyCounts = this.countCopies(servers, enginesById);
        return servers.map(server => {
            const { serverId, bornAtMs } = server.record;
            const engine = enginesById.get(serverId);
            const state = engine?.state.bornAtMs === bornAtMs ? engine.state : undefined;
            const statedRate = this.options.getServerRate(server.record);
            const isReachable = !server.isSuspect(now);
            const isCommanded = this.recentCommands.has(serverId, now);
            // Until the reported engine state shows the effect of a command, the order in the command is used instead.
            const job = state?.job ?? (isCommanded ? this.lastModelOrders.get(serverId) : undefined);
            const loadedCopies = (state ?? server.record).models.map(({ modelId }) => ({
                modelId,
                sizeMb: profile.models.get(modelId)?.sizeMb ?? 0,
                activeCount: running.get(`${serverId} ${modelId}`) ?? 0,
                idleMs: this.arrivalRates.idleMs(modelId, now),
            }));
            const wantedPerSecond = loadedCopies.reduce(
                (sum, { modelId }) =>
                    sum + this.arrivalRates.ratePerSecond(modelId, now) / (copyCounts.get(modelId) ?? 1),
                0,
            );
            return {
                serverId,
                // An engine that limits its rate gets no order, since orders count too.
                canExecuteOrder: isReachable && state?.idle === true && !isCommanded && statedRate === undefined,
                // An engine that takes less than what is wanted of it counts as none, so that its models are loaded elsewhere.
                isAvailable: isReachable && (statedRate === undefined || wantedPerSecond <= statedRate),
                memoryMb: profile.memoryMb,
                adapterMemoryMb,
                loadedCopies,
                loadingModelId: job?.load,
                unloadingModelId: job?.unload,
                inMemory: new Set((state ?? server.record).inMemory),
                onDisk: new Set((state ?? server.record).onDisk),
                isLoadingFromStore: job?.origin === "store",
                takesOrders: isReachable && statedRate === undefined,
            };
        });
    }

    private countCopies(
        servers: readonly ServerState[],
        enginesById: ReadonlyMap<ServerId, ReportedEngine>,
    ): Map<ModelId, number> {
        const counts = new Map<ModelId, number>();
        for (const { record } of servers) {
            const state = enginesById.get(record.serverId)?.state;
            for (const { modelId } of (state ?? record).models) counts.set(modelId, (counts.get(modelId) ?? 0) + 1);
        }
        return counts;
    }

    private describeModels(profile: EngineProfile, now: number): ModelSnapshot[] {
        const waiting = this.demand.summarizeWaitingByModel();
        const running = this.demand.runningCountsByModel;
        return [...profile.models.values()].map(model => ({
            ...model,
            waitingCount: waiting.get(model.modelId)?.count ?? 0,
            oldestWaitMs: waiting.get(model.modelId)?.oldestMs ?? 0,
            runningCount: running.get(model.modelId) ?? 0,
            ratePerSecond: this.arrivalRates.ratePerSecond(model.modelId, now),
            adapterRatePerSecond: this.arrivalRates.ratePerSecond(formatAdapterRateKey(model.modelId), now),
        }));
    }

    /** Records when engines joined; returns whether the set of engines counts as complete. */
    private recordJoins(engines: readonly EngineSnapshot[], now: number): boolean {
        for (const { serverId } of engines) if (!this.joinedAtMs.has(serverId)) this.joinedAtMs.set(serverId, now);
        return engines.every(({ serverId }) => now - this.joinedAtMs.get(serverId)! >= JOIN_QUIET_MS);
    }

    /** Assumes a rate for models with several copies, once, before arrivals have been recorded. */
    private setInitialRates(engines: readonly EngineSnapshot[], now: number): void {
        if (this.hasInitialRates) return;
        this.hasInitialRates = true;
        const counts = new Map<ModelId, number>();
        for (const { loadedCopies } of engines) {
            for (const { modelId } of loadedCopies) counts.set(modelId, (counts.get(modelId) ?? 0) + 1);
        }
        for (const [modelId, count] of counts) {
            if (count >= MIN_BUSY_COPY_COUNT) {
                this.arrivalRates.setInitialRate(modelId, INITIAL_BUSY_RATE_PER_SECOND, now);
            }
        }
    }

    /** Estimates when models that are being loaded, or that requests wait for, can serve requests. */
    private estimateEtas(
        engines: readonly DescribedEngine[],
        models: readonly ModelSnapshot[],
        now: number,
    ): ModelEta[] {
        const etas = new Map<ModelId, number>();
        const remainingStoreLoadsMs: number[] = [];
        for (const { state: { serverId, job } } of this.demand.listEngines().values()) {
            if (job === undefined) continue;
            const elapsedMs = now - (this.loadsInProgress.get(serverId)?.sinceMs ?? now);
            const remainingMs = this.storeLoadLimit.remainingMs(serverId, now)
                ?? Math.max(0, job.expectedMs - elapsedMs);
            etas.set(job.load, remainingMs + LOAD_OVERHEAD_MS);
            if (job.origin === "store") remainingStoreLoadsMs.push(remainingMs);
        }
        const resident = new Set(
            engines.filter(engine => engine.isAvailable).flatMap(engine =>
                engine.loadedCopies.map(copy => copy.modelId)
            ),
        );
        const canLoad = engines.some(engine => engine.takesOrders);
        const queued = models.filter(model =>
            canLoad && model.waitingCount > 0 && !etas.has(model.modelId) && !resident.has(model.modelId)
        )
            .sort((a, b) => b.oldestWaitMs - a.oldestWaitMs);
        for (const model of queued) {
            const localMs = this.estimateLocalEtaMs(engines, model, now);
            if (localMs !== undefined) {
                etas.set(model.modelId, localMs + LOAD_OVERHEAD_MS);
                continue;
            }
            remainingStoreLoadsMs.sort((a, b) => a - b);
            const hasFreeLoadSlot = remainingStoreLoadsMs.length < this.storeLoadLimit.value;
            const startDelayMs = hasFreeLoadSlot ? 0 : remainingStoreLoadsMs.shift()!;
            remainingStoreLoadsMs.push(startDelayMs + model.storeLoadMs);
            etas.set(model.modelId, startDelayMs + model.storeLoadMs + LOAD_OVERHEAD_MS);
        }
        return [...etas].map(([modelId, readyInMs]) => ({ modelId, readyInMs: Math.round(readyInMs) }));
    }

    /** Estimates the load time on an engine with a local copy of the weights; undefined if there is no such engine. */
    private estimateLocalEtaMs(
        engines: readonly EngineSnapshot[],
        model: ModelSnapshot,
        now: number,
    ): number | undefined {
        const enginesById = this.demand.listEngines();
        const timesMs = engines.flatMap(engine => {
            const isInMemory = engine.inMemory.has(model.modelId);
            if (!engine.isAvailable || !isInMemory && !engine.onDisk.has(model.modelId)) return [];
            const job = enginesById.get(engine.serverId)?.state.job;
            const elapsedMs = now - (this.loadsInProgress.get(engine.serverId)?.sinceMs ?? now);
            const busyMs = job === undefined ? 0 : Math.max(0, job.expectedMs - elapsedMs);
            return [busyMs + (isInMemory ? model.memoryLoadMs : model.diskLoadMs)];
        });
        return timesMs.length === 0 ? undefined : Math.min(...timesMs);
    }

    /** Assigns a new version to each reported engine whose placement changed, and notifies the listeners. */
    private updatePlacedVersions(states: readonly EngineState[], now: number): void {
        const before = this.version;
        for (const { serverId, bornAtMs, models, job } of states) {
            if (job?.load !== this.loadsInProgress.get(serverId)?.load) {
                if (job === undefined) this.loadsInProgress.delete(serverId);
                else this.loadsInProgress.set(serverId, { load: job.load, sinceMs: now });
            }
            const signature = JSON.stringify([bornAtMs, models, job?.load]);
            if (this.placedVersions.get(serverId)?.signature === signature) continue;
            this.version += 1;
            this.placedVersions.set(serverId, {
                engine: { serverId, bornAtMs, models },
                load: job?.load,
                signature,
                version: this.version,
            });
        }
        if (this.version !== before) this.scheduleNotification();
    }

    private removeUnreportedEngines(): void {
        const enginesById = this.demand.listEngines();
        const before = this.version;
        for (const [serverId, { engine }] of this.placedVersions) {
            if (engine === undefined || enginesById.has(serverId)) continue;
            this.version += 1;
            this.placedVersions.set(serverId, {
                engine: undefined,
                load: undefined,
                signature: "",
                version: this.version,
            });
            this.loadsInProgress.delete(serverId);
        }
        if (this.version !== before) this.scheduleNotification();
    }

    /** Schedules one notification for all changes that happen at about the same time. */
    private scheduleNotification(): void {
        this.notifyTimer ??= setTimeout(() => {
            this.notifyTimer = undefined;
            for (const listener of [...this.listeners]) listener();
        }, NOTIFY_DELAY_MS);
    }

    private recordArrival(modelId: ModelId, adapterId: AdapterId | undefined, count: number, now: number): void {
        this.arrivalRates.recordArrivals(modelId, count, now);
        if (adapterId === undefined) return;
        this.arrivalRates.recordArrivals(formatTargetKey(modelId, adapterId), count, now);
        this.arrivalRates.recordArrivals(formatAdapterRateKey(modelId), count, now);
    }
}

/** Key of the rate over all adapters of a model. */
function formatAdapterRateKey(modelId: ModelId): string {
    return `${modelId}/*`;
}
