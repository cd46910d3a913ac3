import type { ModelId } from "@skylarkmill/protocol";
import type {
    EngineModelOrder,
    EngineModelsInput,
    EngineModelsPolicy,
    EngineSnapshot,
    LoadedCopy,
    ModelSnapshot,
} from "./engine-models.ts";

/** Idle time from which a copy may be unloaded for a prefetch, which no request waits for. */
const PREFETCH_EVICTION_MIN_IDLE_MS = 1_500;
/** Copies wanted of a busy model, so that its requests are still served after the loss of one engine. */
const BUSY_MODEL_COPY_COUNT = 2;
/** Request rate from which a model counts as busy; about one request during a load from disk. */
const BUSY_MODEL_RATE_PER_SECOND = 1;

/** Expected duration of unloading an idle model. */
const UNLOAD_MS = 20;
/** Cost of each model that an engine has on disk; small compared with the cost of a load. */
const SPREAD_COST_MS_PER_MODEL = 10;
/** Expected share of a model's requests that are affected by unloading a copy while another copy stays loaded. */
const AFFECTED_SHARE_WITH_OTHER_COPY = 0.2;
/** Cost of unloading a copy that was just used; it falls with the idle time and breaks ties between equal rates. */
const RECENT_USE_COST_MS = 100;
/** Weight of each existing copy in the discount on a model's request rate: first copies come before further ones. */
const EXISTING_COPY_WEIGHT = 5;
/**
 * Wait from which a model is loaded from the weight store although an engine has its weights; a load from disk takes
 * about 0.6 s.
 */
const STORE_LOAD_MIN_WAIT_MS = 2_000;
/**
 * Share of requests whose response stream has a long pause (over 150 ms), per other request in progress on their engine.
 */
const PAUSED_SHARE_PER_ACTIVE_REQUEST = 0.012;
/** Requests with a long pause that cost as much as one request whose model has to be loaded first. */
const PAUSED_REQUESTS_PER_COLD_START = 4;
/** Requests with a long pause, per second, that a further copy must avoid. */
const MIN_AVOIDED_PAUSES_PER_SECOND = 0.1;
/** Same limit for a further copy that is loaded from the weight store, which occupies an engine for seconds. */
const STORE_LOAD_MIN_AVOIDED_PAUSES_PER_SECOND = 1;
/** Cost of each request in progress on the engine that would load the model. */
const ACTIVE_REQUEST_COST_MS = 30;
/** Expected share of adapter requests whose adapter is not loaded yet. */
const ADAPTER_MISS_SHARE = 0.3;

type Origin = EngineModelOrder["origin"];

/** A possible load of a model on an engine. */
interface LoadCandidate {
    readonly engine: EngineSnapshot;
    readonly copyToUnload: LoadedCopy | undefined;
    readonly origin: Origin;
    readonly costMs: number;
}

/**
 * Plans loads from current demand.
 *
 * A model that requests wait for is loaded on the engine with the lowest cost, mainly the load time from memory, disk
 * or the weight store. If the engine has too little free memory, the copy with the lowest unload cost is unloaded. Busy
 * models get further copies. Models whose weights no engine has are prefetched from the weight store while it has
 * capacity.
 */
export class DemandEngineModelsPolicy implements EngineModelsPolicy {
    plan(input: EngineModelsInput): readonly EngineModelOrder[] {
        return new EngineModelsPlan(input).planOrders();
    }
}

/** Builds the orders of one planning call. */
class EngineModelsPlan {
    private readonly orders: EngineModelOrder[] = [];
    private readonly enginesWithOrder = new Set<EngineSnapshot>();
    private readonly modelsById: ReadonlyMap<ModelId, ModelSnapshot>;
    private readonly copyCounts = new Map<ModelId, number>();
    /** Available engines that have a model loaded. */
    private readonly holdersByModel = new Map<ModelId, EngineSnapshot[]>();
    /** Available engines with a copy of a model's weights in host memory or on disk. */
    private readonly weightHoldersByModel = new Map<ModelId, EngineSnapshot[]>();
    /** Models with a copy of their weights on an engine that is unavailable. */
    private readonly unavailableModels = new Set<ModelId>();
    private readonly activeCounts = new Map<EngineSnapshot, number>();
    private storeLoadCount: number;

    constructor(private readonly input: EngineModelsInput) {
        this.modelsById = new Map(input.models.map(model => [model.modelId, model]));
        this.storeLoadCount = input.storeLoadCount;
        for (const engine of input.engines) {
            this.activeCounts.set(engine, activeCountOf(engine));
            this.indexWeights(engine);
            if (!engine.isAvailable) continue;
            for (const { modelId } of engine.loadedCopies) {
                addToList(this.holdersByModel, modelId, engine);
                if (modelId !== engine.unloadingModelId) this.addCopy(modelId);
            }
            if (engine.loadingModelId !== undefined) this.addCopy(engine.loadingModelId);
        }
    }

    private indexWeights(engine: EngineSnapshot): void {
        for (const modelId of new Set([...engine.onDisk, ...engine.inMemory])) {
            if (engine.isAvailable) addToList(this.weightHoldersByModel, modelId, engine);
            else this.unavailableModels.add(modelId);
        }
    }

    planOrders(): readonly EngineModelOrder[] {
        const waitingModels = this.input.models.filter(model =>
            model.waitingCount > 0 && this.copiesOf(model.modelId) === 0
        );
        for (const model of waitingModels.sort((a, b) => b.oldestWaitMs - a.oldestWaitMs)) {
            if (this.isOnAvailableEngine(model.modelId)) this.planLoad(model, "waiting");
        }
        // Loads from the weight store are slow and few at a time, so models with the highest demand come first.
        const modelsByDemand = [...this.input.models].sort((a, b) =>
            this.discountedRatePerSecond(b) - this.discountedRatePerSecond(a)
        );
        for (const model of modelsByDemand) {
            const copyCount = this.copiesOf(model.modelId);
            if (copyCount === 0 && model.waitingCount > 0) this.planLoad(model, "waiting");
            else if (copyCount > 0 && this.needsFurtherCopy(model)) this.planLoad(model, "scale_out");
        }
        if (!this.input.allowsPrefetch) return this.orders;
        for (const model of modelsByDemand) {
            if (this.storeLoadCount >= this.input.maxStoreLoadCount) break;
            if (this.copiesOf(model.modelId) === 0 && !this.isOnEngine(model.modelId)) this.planLoad(model, "prefetch");
        }
        return this.orders;
    }

    /** Request rate of a model, discounted by the copies that exist. */
    private discountedRatePerSecond(model: ModelSnapshot): number {
        return model.ratePerSecond / (1 + EXISTING_COPY_WEIGHT * this.copiesOf(model.modelId));
    }

    /** Plans the load on the engine with the lowest cost, if any engine can load the model now. */
    private planLoad(model: ModelSnapshot, reason: EngineModelOrder["reason"]): void {
        const candidates = this.input.engines
            .filter(engine => engine.canExecuteOrder && engine.isAvailable && !this.enginesWithOrder.has(engine))
            .map(engine => this.createCandidate(engine, model, reason))
            .filter(candidate => candidate !== undefined)
            .sort((a, b) => a.costMs - b.costMs);
        const [best] = candidates;
        if (best === undefined) return;
        if (best.origin === "store") this.storeLoadCount += 1;
        this.enginesWithOrder.add(best.engine);
        this.addCopy(model.modelId);
        const unload = best.copyToUnload?.modelId;
        if (unload !== undefined) this.copyCounts.set(unload, this.copiesOf(unload) - 1);
        const { engine: { serverId }, origin } = best;
        this.orders.push({ serverId, load: model.modelId, unload, origin, reason });
    }

    /** Returns the load of the model on an engine with its cost, or undefined if the engine can't load it now. */
    private createCandidate(
        engine: EngineSnapshot,
        model: ModelSnapshot,
        reason: EngineModelOrder["reason"],
    ): LoadCandidate | undefined {
        if (engine.loadedCopies.some(copy => copy.modelId === model.modelId)) return undefined;
        const origin = originOf(engine, model);
        const usedMb = engine.loadedCopies.reduce((sum, copy) => sum + copy.sizeMb, engine.adapterMemoryMb);
        const hasFreeMemory = usedMb + model.sizeMb <= engine.memoryMb;
        if (origin === "store" && !this.canLoadFromStore(engine, model, reason, hasFreeMemory)) return undefined;
        const copyToUnload = hasFreeMemory ? undefined : this.chooseCopyToUnload(engine, model, usedMb, reason);
        if (!hasFreeMemory && copyToUnload === undefined) return undefined;
        const costMs = loadDurationMs(origin, model)
            + (copyToUnload === undefined ? 0 : UNLOAD_MS + this.unloadCostMs(engine, copyToUnload))
            + spreadCostMs(engine) + this.adapterDelayCostMs(engine, loadDurationMs(origin, model))
            + ACTIVE_REQUEST_COST_MS * this.activeCountAt(engine);
        return { engine, copyToUnload, origin, costMs };
    }

    /**
     * True if the weight store has capacity and a load from it is worthwhile.
     *
     * Waiting for a busy engine that has the weights is usually faster than a load from the store, so a model that some
     * engine has is loaded from the store only after STORE_LOAD_MIN_WAIT_MS.
     */
    private canLoadFromStore(
        engine: EngineSnapshot,
        model: ModelSnapshot,
        reason: EngineModelOrder["reason"],
        hasFreeMemory: boolean,
    ): boolean {
        if (this.storeLoadCount >= this.input.maxStoreLoadCount) return false;
        // A load from the store occupies an engine for seconds: it must need no unload or avoid many long pauses.
        if (reason === "scale_out") {
            return hasFreeMemory && this.copiesOf(model.modelId) < BUSY_MODEL_COPY_COUNT
                || this.storeLoadCount === 0
                    && this.avoidedPausesPerSecond(model, engine) >= STORE_LOAD_MIN_AVOIDED_PAUSES_PER_SECOND;
        }
        return model.oldestWaitMs >= STORE_LOAD_MIN_WAIT_MS || !this.isOnEngine(model.modelId);
    }

    /** Expected delay of adapter requests, since an engine loads no adapter while it loads a model. */
    private adapterDelayCostMs(engine: EngineSnapshot, modelLoadMs: number): number {
        const adapterRatePerSecond = engine.loadedCopies.reduce(
            (sum, copy) => sum + (this.modelsById.get(copy.modelId)?.adapterRatePerSecond ?? 0),
            0,
        );
        return ADAPTER_MISS_SHARE * adapterRatePerSecond * modelLoadMs;
    }

    /** Chooses the copy with the lowest unload cost among those whose unload frees enough memory. */
    private chooseCopyToUnload(
        engine: EngineSnapshot,
        model: ModelSnapshot,
        usedMb: number,
        reason: EngineModelOrder["reason"],
    ): LoadedCopy | undefined {
        const removable = engine.loadedCopies.filter(copy =>
            copy.activeCount === 0
            && usedMb - copy.sizeMb + model.sizeMb <= engine.memoryMb
            && this.canUnloadCopy(engine, copy, model, reason)
        );
        return removable.sort((a, b) => this.unloadCostMs(engine, a) - this.unloadCostMs(engine, b))[0];
    }

    /**
     * True if an idle copy may be unloaded for the load of another model.
     *
     * A load that requests wait for may unload any idle copy, except for the last one of a model that requests also wait
     * for, and one that the requests for its model need beside the other copies: a copy that was just loaded for them has
     * none in progress yet. Other loads only unload copies beyond the wanted number or copies with little use.
     */
    private canUnloadCopy(
        engine: EngineSnapshot,
        copy: LoadedCopy,
        modelToLoad: ModelSnapshot,
        reason: EngineModelOrder["reason"],
    ): boolean {
        const model = this.modelsById.get(copy.modelId);
        if (model === undefined) return true;
        const remainingCopyCount = this.copiesOf(copy.modelId) - 1;
        if (model.waitingCount > 0 && remainingCopyCount === 0) return false;
        if (reason === "waiting") return remainingCopyCount === 0 || !isCrowded(model, remainingCopyCount, this.input);
        if (remainingCopyCount >= Math.max(1, wantedCopyCount(model, this.input))) return true;
        if (reason === "scale_out") {
            const affectedShare = remainingCopyCount > 0 ? AFFECTED_SHARE_WITH_OTHER_COPY : 1;
            const equivalentPausesPerSecond = affectedShare * model.ratePerSecond * PAUSED_REQUESTS_PER_COLD_START;
            return this.avoidedPausesPerSecond(modelToLoad, engine)
                > Math.max(MIN_AVOIDED_PAUSES_PER_SECOND, equivalentPausesPerSecond);
        }
        return reason === "prefetch" && copy.idleMs >= PREFETCH_EVICTION_MIN_IDLE_MS
            && model.ratePerSecond < BUSY_MODEL_RATE_PER_SECOND;
    }

    /** Expected cost of unloading a copy: the rate of requests that need it times its reload time. */
    private unloadCostMs(engine: EngineSnapshot, copy: LoadedCopy): number {
        const model = this.modelsById.get(copy.modelId);
        if (model === undefined) return 0;
        const otherCopyCount = this.copiesOf(copy.modelId) - 1;
        const reloadMs = this.canReloadWithoutStore(engine, copy.modelId) ? model.diskLoadMs : model.storeLoadMs;
        if (otherCopyCount >= Math.max(1, wantedCopyCount(model, this.input))) return 0;
        const affectedShare = otherCopyCount > 0 ? AFFECTED_SHARE_WITH_OTHER_COPY : 1;
        return affectedShare * model.ratePerSecond * reloadMs
            + affectedShare * RECENT_USE_COST_MS / (1 + copy.idleMs / 1_000);
    }

    /** True if a model has fewer copies than wanted, or all engines that hold it run many requests. */
    private needsFurtherCopy(model: ModelSnapshot): boolean {
        return this.copiesOf(model.modelId) < wantedCopyCount(model, this.input)
            || this.avoidedPausesPerSecond(model) > MIN_AVOIDED_PAUSES_PER_SECOND;
    }

    /**
     * Requests per second that a further copy would save from a long pause.
     *
     * @param target engine of the copy; without it, an engine without requests is assumed
     */
    private avoidedPausesPerSecond(model: ModelSnapshot, target?: EngineSnapshot): number {
        const holders = this.holdersByModel.get(model.modelId) ?? [];
        // A copy that is still loading has not taken over its share of the requests, so another is not considered yet.
        if (holders.length === 0 || this.copiesOf(model.modelId) > holders.length) return 0;
        // Counted as if half of the model's requests moved from the least loaded holder to the further copy.
        const lowestActiveCount = Math.min(...holders.map(holder => this.activeCountAt(holder)));
        const targetActiveCount = target === undefined ? 0 : this.activeCountAt(target);
        return Math.max(
            0,
            PAUSED_SHARE_PER_ACTIVE_REQUEST * model.ratePerSecond * (lowestActiveCount - targetActiveCount) / 2,
        );
    }

    /** True if the model can be reloaded from host memory or disk, by this or another available engine. */
    private canReloadWithoutStore(engine: EngineSnapshot, modelId: ModelId): boolean {
        if (engine.onDisk.has(modelId) || engine.inMemory.has(modelId)) return true;
        return this.weightHoldersByModel.has(modelId);
    }

    /** True if an available engine has the model loaded, is loading it, or has its weights in host memory or on disk. */
    private isOnAvailableEngine(modelId: ModelId): boolean {
        return this.copiesOf(modelId) > 0 || this.weightHoldersByModel.has(modelId);
    }

    /** True if any engine has the model, even if it is unreachable at present. */
    private isOnEngine(modelId: ModelId): boolean {
        return this.isOnAvailableEngine(modelId) || this.unavailableModels.has(modelId);
    }

    private activeCountAt(engine: EngineSnapshot): number {
        return this.activeCounts.get(engine) ?? 0;
    }

    /** Number of copies on available engines after the orders in progress and the planned ones. */
    private copiesOf(modelId: ModelId): number {
        return this.copyCounts.get(modelId) ?? 0;
    }

    private addCopy(modelId: ModelId): void {
        this.copyCounts.set(modelId, this.copiesOf(modelId) + 1);
    }
}

function addToList<K, V>(lists: Map<K, V[]>, key: K, value: V): void {
    const list = lists.get(key);
    if (list === undefined) lists.set(key, [value]);
    else list.push(value);
}

function wantedCopyCount(model: ModelSnapshot, input: EngineModelsInput): number {
    const isBusy = model.ratePerSecond >= BUSY_MODEL_RATE_PER_SECOND;
    return Math.max(isBusy ? BUSY_MODEL_COPY_COUNT : 0, copyCountForRequests(model, input));
}

function copyCountForRequests({ runningCount, waitingCount }: ModelSnapshot, input: EngineModelsInput): number {
    return Math.ceil((runningCount + waitingCount) / input.requestsPerCopy);
}

/** Whether the requests for a model are too many for this number of copies. */
function isCrowded(model: ModelSnapshot, copyCount: number, input: EngineModelsInput): boolean {
    return copyCountForRequests(model, input) > copyCount;
}

function activeCountOf(engine: EngineSnapshot): number {
    return engine.loadedCopies.reduce((sum, copy) => sum + copy.activeCount, 0);
}

function originOf(engine: EngineSnapshot, model: ModelSnapshot): Origin {
    if (engine.inMemory.has(model.modelId)) return "memory";
    return engine.onDisk.has(model.modelId) ? "disk" : "store";
}

function loadDurationMs(origin: Origin, model: ModelSnapshot): number {
    if (origin === "memory") return model.memoryLoadMs;
    return origin === "disk" ? model.diskLoadMs : model.storeLoadMs;
}

/** Cost that favours engines with fewer models on disk, so that models spread over all engines. */
function spreadCostMs(engine: EngineSnapshot): number {
    return SPREAD_COST_MS_PER_MODEL * engine.onDisk.size;
}
