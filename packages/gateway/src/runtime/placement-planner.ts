import type { Logger } from "@skylarkmill/coordination";
import type { EngineModelOrder, EngineModelsPolicy, PlannedEngine, PlannedModel } from "@skylarkmill/policy";
import type { AdapterId, ModelId, ServerId, ServiceId } from "@skylarkmill/protocol";
import type { Catalog, EngineProfile } from "../types/catalog.ts";
import type {
    DemandMessage,
    EngineCommand,
    EngineTotal,
    ModelEta,
    PlacedEngine,
    PlacementState,
} from "../types/placement.ts";
import { nowMs } from "../utils/clock.ts";
import { AdapterPlanner } from "./adapter-planner.ts";
import { DemandPool, type KnownEngine } from "./demand-pool.ts";
import { RateBook } from "./rate-book.ts";
import { RecentCommands } from "./recent-commands.ts";
import type { ServerDirectory } from "./server-directory.ts";
import { targetKey } from "./server-state.ts";

/** Interval of the plan beside changes of demand. */
const PLAN_INTERVAL_MS = 100;
/** Rate assumed at the start of models that lie on several engines; they were placed so because they are busy. */
const ASSUMED_BUSY_RATE = 1.2;
const ASSUMED_BUSY_COPIES = 3;
/** Delay of a load beside the engine's own time: removal, confirmation and the news of it. */
const LOAD_OVERHEAD_MS = 250;
/** Changes within this time go out in one answer; orders of several engines often end together. */
const NOTIFY_DELAY_MS = 8;
/** No engine has joined for this time, so that all are known that run; heartbeats come within it. */
const JOIN_SETTLE_MS = 1_000;
/** Requests in progress at one copy from which a further copy shortens their steps. */
const REQUESTS_PER_COPY = 16;

export interface PlacementPlannerOptions {
    readonly directory: ServerDirectory;
    readonly policy: EngineModelsPolicy;
    readonly logger: Logger;
    /** Loads from the weight store at once at which it is at full speed. */
    readonly maxStoreLoadCount: number;
    readonly catalog: () => Catalog | undefined;
    /** Revision of this gateway's membership while it is the oldest member; undefined otherwise. */
    readonly term: () => number | undefined;
    /** Demand of this process's own gateway. */
    readonly ownDemand: () => DemandMessage;
    /** Sends a command to the gateway that orders the engine. */
    readonly send: (address: string, command: EngineCommand) => void;
}

interface PlacedVersion {
    /** Undefined when the planner knows nothing of the engine any more. */
    readonly engine: PlacedEngine | undefined;
    readonly signature: string;
    readonly version: number;
}

/**
 * Decides which engine holds which models and adapters. One gateway plans at a time, without a right of its own: two
 * planners cost at most a needless command, since only the holder of an engine's right orders it.
 */
export class PlacementPlanner {
    private readonly options: PlacementPlannerOptions;
    private readonly demand = new DemandPool();
    private readonly commands = new RecentCommands();
    private readonly modelCommands = new Map<ServerId, EngineModelOrder>();
    /** Orders in progress, with the time at which the planner learnt of them. */
    private readonly jobs = new Map<ServerId, { readonly load: ModelId; readonly sinceMs: number; }>();
    private readonly rates = new RateBook();
    private readonly adapters: AdapterPlanner;
    private readonly listeners = new Set<() => void>();
    private readonly joinedAtMs = new Map<ServerId, number>();
    private timer: NodeJS.Timeout | undefined;
    private wakeTimer: NodeJS.Timeout | undefined;
    private version = 0;
    private readonly placed = new Map<ServerId, PlacedVersion>();
    private notifyTimer: NodeJS.Timeout | undefined;
    private etas: readonly ModelEta[] = [];
    private hasAssumed = false;

    constructor(options: PlacementPlannerOptions) {
        this.options = options;
        const { directory, send } = options;
        this.adapters = new AdapterPlanner({
            directory,
            send,
            demand: this.demand,
            rates: this.rates,
            commands: this.commands,
        });
    }

    start(): void {
        this.timer = setInterval(() => this.tick(), PLAN_INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.timer);
        clearTimeout(this.wakeTimer);
        clearTimeout(this.notifyTimer);
    }

    get isActive(): boolean {
        return this.options.term() !== undefined;
    }

    /** Calls back after each change of the placement state; returns how to stop that. */
    onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    receive(message: DemandMessage): void {
        const now = nowMs();
        this.demand.receive(message, now);
        for (const { modelId, adapterId, count } of message.arrivals) {
            this.recordArrival(modelId, adapterId, count, now);
        }
        this.noteChanges(now);
        if (message.waiting.length > 0) this.wake();
    }

    /** Plans soon, once for all changes of the moment. */
    wake(): void {
        this.wakeTimer ??= setTimeout(() => {
            this.wakeTimer = undefined;
            this.tick();
        }, 1);
    }

    /** The placement, or what changed in it since a version of the same term. */
    state(since?: { readonly term: number; readonly version: number; }): PlacementState {
        const term = this.options.term() ?? 0;
        const isPartial = since !== undefined && since.term === term && since.version > 0;
        const fromVersion = isPartial ? since.version : 0;
        const engines: PlacedEngine[] = [];
        const removed: ServerId[] = [];
        for (const [serverId, { engine, version }] of this.placed) {
            if (version <= fromVersion) continue;
            if (engine === undefined) removed.push(serverId);
            else engines.push(engine);
        }
        const { version, etas } = this;
        return { term, version, isPartial, engines, removed, etas, gatewayCount: this.demand.gatewayCount };
    }

    /** Requests of all gateways in progress, by engine. */
    totals(): EngineTotal[] {
        return this.demand.totals();
    }

    private tick(): void {
        const catalog = this.options.catalog();
        if (!this.isActive || catalog === undefined) return;
        const now = nowMs();
        this.receive(this.options.ownDemand());
        for (const { serviceId, engine } of catalog.services.values()) {
            if (engine !== undefined) this.planService(serviceId, engine, now);
        }
    }

    private planService(serviceId: ServiceId, profile: EngineProfile, now: number): void {
        const known = this.demand.engines(now);
        const engines = this.plannedEngines(serviceId, profile, known, now);
        if (engines.length === 0) return;
        const isSettled = this.noteJoins(engines, now);
        if (isSettled) this.assumeBusyModels(engines, now);
        const models = this.plannedModels(profile, now);
        const orders = this.options.policy.plan({
            engines,
            models,
            storeLoadCount: engines.filter(engine => engine.storeLoad).length,
            maxStoreLoadCount: this.options.maxStoreLoadCount,
            allowsPrefetch: isSettled,
            requestsPerCopy: REQUESTS_PER_COPY,
        });
        for (const order of orders) this.sendModel(order, known, now);
        this.adapters.plan(profile, known, now);
        this.etas = this.listEtas(engines, models, now);
    }

    private sendModel(order: EngineModelOrder, known: ReadonlyMap<ServerId, KnownEngine>, now: number): void {
        const engine = known.get(order.serverId);
        if (engine === undefined) return;
        const { serverId, load, unload, origin, reason } = order;
        this.options.logger.info(
            { step: "placement.order", server: serverId, load, unload, origin, reason },
            "model order decided",
        );
        this.commands.record(serverId, now);
        this.modelCommands.set(serverId, order);
        this.options.send(engine.address, { kind: "model", serverId, load, unload, origin });
    }

    private plannedEngines(
        serviceId: ServiceId,
        profile: EngineProfile,
        known: ReadonlyMap<ServerId, KnownEngine>,
        now: number,
    ): (PlannedEngine & { readonly storeLoad: boolean; })[] {
        const running = this.demand.runningByEngine(now);
        const adapterMemoryMb = profile.maxAdapters
            * Math.max(0, ...[...profile.models.values()].map(model => model.adapterSizeMb));
        return this.options.directory.open(serviceId).map(server => {
            const { serverId, bornAtMs } = server.record;
            const engine = known.get(serverId);
            const state = engine?.state.bornAtMs === bornAtMs ? engine.state : undefined;
            const open = !server.isSuspect(now);
            const isCommanded = this.commands.has(serverId, now);
            // Until the engine's state shows the order, the command stands for it.
            const job = state?.job ?? (isCommanded ? this.modelCommands.get(serverId) : undefined);
            const resident = (state ?? server.record).models.map(({ modelId }) => ({
                modelId,
                sizeMb: profile.models.get(modelId)?.sizeMb ?? 0,
                activeCount: running.get(`${serverId} ${modelId}`) ?? 0,
                idleMs: this.rates.idleMs(modelId, now),
            }));
            return {
                serverId,
                idle: open && state?.idle === true && !isCommanded,
                open,
                memoryMb: profile.memoryMb,
                adapterMemoryMb,
                resident,
                loading: job?.load,
                leaving: job?.unload,
                inMemory: new Set((state ?? server.record).inMemory),
                onDisk: new Set((state ?? server.record).onDisk),
                storeLoad: job?.origin === "store",
            };
        });
    }

    private plannedModels(profile: EngineProfile, now: number): PlannedModel[] {
        const waiting = this.demand.waitingByModel(now);
        const running = this.demand.runningByModel(now);
        return [...profile.models.values()].map(model => ({
            ...model,
            waitingCount: waiting.get(model.modelId)?.count ?? 0,
            oldestWaitMs: waiting.get(model.modelId)?.oldestMs ?? 0,
            runningCount: running.get(model.modelId) ?? 0,
            ratePerSecond: this.rates.ratePerSecond(model.modelId, now),
            adapterRatePerSecond: this.rates.ratePerSecond(adapterRateKey(model.modelId), now),
        }));
    }

    /** Notes when engines appeared; true once none is new. */
    private noteJoins(engines: readonly PlannedEngine[], now: number): boolean {
        for (const { serverId } of engines) if (!this.joinedAtMs.has(serverId)) this.joinedAtMs.set(serverId, now);
        return engines.every(({ serverId }) => now - this.joinedAtMs.get(serverId)! >= JOIN_SETTLE_MS);
    }

    /** Before any request was seen, models on several engines count as busy. */
    private assumeBusyModels(engines: readonly PlannedEngine[], now: number): void {
        if (this.hasAssumed) return;
        this.hasAssumed = true;
        const counts = new Map<ModelId, number>();
        for (const { resident } of engines) {
            for (const { modelId } of resident) counts.set(modelId, (counts.get(modelId) ?? 0) + 1);
        }
        for (const [modelId, count] of counts) {
            if (count >= ASSUMED_BUSY_COPIES) this.rates.assume(modelId, ASSUMED_BUSY_RATE, now);
        }
    }

    /** Times of models that are being loaded, and of those that wait for the weight store. */
    private listEtas(engines: readonly PlannedEngine[], models: readonly PlannedModel[], now: number): ModelEta[] {
        const etas = new Map<ModelId, number>();
        const storeEndsMs: number[] = [];
        for (const { state: { serverId, job } } of this.demand.engines(now).values()) {
            if (job === undefined) continue;
            const elapsedMs = now - (this.jobs.get(serverId)?.sinceMs ?? now);
            const remainingMs = Math.max(0, job.expectedMs - elapsedMs);
            etas.set(job.load, remainingMs + LOAD_OVERHEAD_MS);
            if (job.origin === "store") storeEndsMs.push(remainingMs);
        }
        const isResident = (modelId: ModelId): boolean =>
            engines.some(engine => engine.open && engine.resident.some(copy => copy.modelId === modelId));
        const queued = models.filter(model =>
            model.waitingCount > 0 && !etas.has(model.modelId) && !isResident(model.modelId)
        )
            .sort((a, b) => b.oldestWaitMs - a.oldestWaitMs);
        for (const model of queued) {
            const localMs = this.localEtaMs(engines, model, now);
            if (localMs !== undefined) {
                etas.set(model.modelId, localMs + LOAD_OVERHEAD_MS);
                continue;
            }
            storeEndsMs.sort((a, b) => a - b);
            const isFree = storeEndsMs.length < this.options.maxStoreLoadCount;
            const startMs = isFree ? 0 : storeEndsMs.shift()!;
            storeEndsMs.push(startMs + model.storeLoadMs);
            etas.set(model.modelId, startMs + model.storeLoadMs + LOAD_OVERHEAD_MS);
        }
        return [...etas].map(([modelId, readyInMs]) => ({ modelId, readyInMs: Math.round(readyInMs) }));
    }

    /** Time until an engine that keeps a copy of the model can have loaded it; undefined when none keeps one. */
    private localEtaMs(engines: readonly PlannedEngine[], model: PlannedModel, now: number): number | undefined {
        const known = this.demand.engines(now);
        const timesMs = engines.flatMap(engine => {
            const isInMemory = engine.inMemory.has(model.modelId);
            if (!engine.open || !isInMemory && !engine.onDisk.has(model.modelId)) return [];
            const job = known.get(engine.serverId)?.state.job;
            const elapsedMs = now - (this.jobs.get(engine.serverId)?.sinceMs ?? now);
            const busyMs = job === undefined ? 0 : Math.max(0, job.expectedMs - elapsedMs);
            return [busyMs + (isInMemory ? model.memoryLoadMs : model.diskLoadMs)];
        });
        return timesMs.length === 0 ? undefined : Math.min(...timesMs);
    }

    /** Gives each engine whose placement changed a new version, and tells the listeners. */
    private noteChanges(now: number): void {
        const known = this.demand.engines(now);
        const before = this.version;
        for (const { state: { serverId, bornAtMs, models, job } } of known.values()) {
            if (job?.load !== this.jobs.get(serverId)?.load) {
                if (job === undefined) this.jobs.delete(serverId);
                else this.jobs.set(serverId, { load: job.load, sinceMs: now });
            }
            const signature = JSON.stringify([bornAtMs, models, job?.load]);
            if (this.placed.get(serverId)?.signature === signature) continue;
            this.version += 1;
            this.placed.set(serverId, { engine: { serverId, bornAtMs, models }, signature, version: this.version });
        }
        for (const [serverId, { engine }] of this.placed) {
            if (engine === undefined || known.has(serverId)) continue;
            this.version += 1;
            this.placed.set(serverId, { engine: undefined, signature: "", version: this.version });
        }
        if (this.version !== before) this.notifySoon();
    }

    /** Tells the listeners once for all changes of the moment. */
    private notifySoon(): void {
        this.notifyTimer ??= setTimeout(() => {
            this.notifyTimer = undefined;
            for (const listener of [...this.listeners]) listener();
        }, NOTIFY_DELAY_MS);
    }

    private recordArrival(modelId: ModelId, adapterId: AdapterId | undefined, count: number, now: number): void {
        this.rates.record(modelId, count, now);
        if (adapterId === undefined) return;
        this.rates.record(targetKey(modelId, adapterId), count, now);
        this.rates.record(adapterRateKey(modelId), count, now);
    }
}

/** Key under which all adapters of a model count together. */
function adapterRateKey(modelId: ModelId): string {
    return `${modelId}/*`;
}
