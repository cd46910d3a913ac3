import type { ModelId } from "@skylarkmill/protocol";
import type {
    EngineModelOrder,
    EngineModelsInput,
    EngineModelsPolicy,
    PlannedEngine,
    PlannedModel,
    ResidentCopy,
} from "./engine-models.ts";

/** A copy that was used this recently is not removed for a model that nobody waits for. */
const SPARE_IDLE_MS = 1_500;
/** Copies that a model with steady demand keeps, so that the loss of one engine stops no request. */
const BUSY_COPY_COUNT = 2;
/** From this rate on, a model counts as busy; about one request during a load from disk. */
const BUSY_RATE_PER_SECOND = 1;

/** Time of an unload of an idle model. */
const UNLOAD_MS = 20;
/** Cost of each model that an engine has on disk, small beside a load. */
const SPREAD_MS_PER_MODEL = 10;
/** Share of a copy's requests that miss it while another copy serves them. */
const OTHER_COPY_SHARE = 0.2;
/** Cost of removing a copy that was used just now, which breaks ties between rates. */
const RECENT_USE_MS = 100;
/** A second copy is needed less than a first one. */
const FURTHER_COPY_FACTOR = 5;
/** Time for which a waiting model is only loaded from copies on engines; a load from disk takes about 0.6 s. */
const LOCAL_PATIENCE_MS = 2_000;
/** Share of requests that each request in progress beside them on their engine delays by a long pause. */
const CROWDING_SHARE = 0.012;
/** Crowded requests that weigh as much as one that meets no copy of its model. */
const CROWDED_PER_COLD_START = 4;
/** Requests per second that a further copy must relieve. */
const MIN_RELIEF_PER_SECOND = 0.1;
/** The same for a copy from the weight store, which keeps an engine busy for seconds. */
const STORE_RELIEF_PER_SECOND = 1;
/** Cost of each request in progress on an engine that would get a further copy. */
const CROWDED_MS = 30;
/** Share of adapter requests whose adapter is not loaded yet. */
const ADAPTER_MISS_SHARE = 0.3;

type Origin = EngineModelOrder["origin"];

interface Candidate {
    readonly engine: PlannedEngine;
    readonly victim: ResidentCopy | undefined;
    readonly origin: Origin;
    readonly costMs: number;
}

/**
 * Answers rare models that are asked for at once, and demand that moves to other models: a model that requests wait for
 * is loaded where its weights are nearest, in place of the copy that is missed least; models that no engine has ever
 * held are fetched from the weight store ahead of demand, while it has room.
 */
export class DemandModels implements EngineModelsPolicy {
    plan(input: EngineModelsInput): readonly EngineModelOrder[] {
        return new Plan(input).run();
    }
}

class Plan {
    private readonly orders: EngineModelOrder[] = [];
    private readonly taken = new Set<PlannedEngine>();
    private readonly models: ReadonlyMap<ModelId, PlannedModel>;
    private readonly copies = new Map<ModelId, number>();
    private storeLoadCount: number;

    constructor(private readonly input: EngineModelsInput) {
        this.models = new Map(input.models.map(model => [model.modelId, model]));
        this.storeLoadCount = input.storeLoadCount;
        for (const engine of input.engines) {
            if (!engine.open) continue;
            for (const { modelId } of engine.resident) if (modelId !== engine.leaving) this.addCopy(modelId);
            if (engine.loading !== undefined) this.addCopy(engine.loading);
        }
    }

    run(): readonly EngineModelOrder[] {
        const waiting = this.input.models.filter(model => model.waitingCount > 0 && this.copiesOf(model.modelId) === 0);
        for (const model of waiting.sort((a, b) => b.oldestWaitMs - a.oldestWaitMs)) {
            if (this.isAnywhere(model.modelId)) this.place(model, "waiting");
        }
        // The weight store is slow, so what most requests ask for comes first.
        const scarce = [...this.input.models].sort((a, b) => this.need(b) - this.need(a));
        for (const model of scarce) {
            const copies = this.copiesOf(model.modelId);
            if (copies === 0 && model.waitingCount > 0) this.place(model, "waiting");
            else if (copies > 0 && this.needsFurtherCopy(model)) this.place(model, "scale_out");
        }
        if (!this.input.allowsPrefetch) return this.orders;
        for (const model of scarce) {
            if (this.storeLoadCount >= this.input.maxStoreLoadCount) break;
            if (this.copiesOf(model.modelId) === 0 && !this.isKept(model.modelId)) this.place(model, "prefetch");
        }
        return this.orders;
    }

    /** Requests per second that a further copy would serve. */
    private need(model: PlannedModel): number {
        return model.ratePerSecond / (1 + FURTHER_COPY_FACTOR * this.copiesOf(model.modelId));
    }

    private place(model: PlannedModel, reason: EngineModelOrder["reason"]): void {
        const candidates = this.input.engines
            .filter(engine => engine.idle && engine.open && !this.taken.has(engine))
            .map(engine => this.candidate(engine, model, reason))
            .filter(candidate => candidate !== undefined)
            .sort((a, b) => a.costMs - b.costMs);
        const [best] = candidates;
        if (best === undefined) return;
        if (best.origin === "store") this.storeLoadCount += 1;
        this.taken.add(best.engine);
        this.addCopy(model.modelId);
        const unload = best.victim?.modelId;
        if (unload !== undefined) this.copies.set(unload, this.copiesOf(unload) - 1);
        const { engine: { serverId }, origin } = best;
        this.orders.push({ serverId, load: model.modelId, unload, origin, reason });
    }

    private candidate(
        engine: PlannedEngine,
        model: PlannedModel,
        reason: EngineModelOrder["reason"],
    ): Candidate | undefined {
        if (engine.resident.some(copy => copy.modelId === model.modelId)) return undefined;
        const origin = originOf(engine, model);
        const usedMb = engine.resident.reduce((sum, copy) => sum + copy.sizeMb, engine.adapterMemoryMb);
        const fits = usedMb + model.sizeMb <= engine.memoryMb;
        if (origin === "store" && !this.mayUseStore(engine, model, reason, fits)) return undefined;
        const victim = fits ? undefined : this.victim(engine, model, usedMb, reason);
        if (!fits && victim === undefined) return undefined;
        const costMs = loadMs(origin, model) + (victim === undefined ? 0 : UNLOAD_MS + this.missedMs(engine, victim))
            + spreadMs(engine) + this.blockedMs(engine, loadMs(origin, model)) + CROWDED_MS * activeCountOf(engine);
        return { engine, victim, origin, costMs };
    }

    /** A local copy on an engine that is busy for a moment is still nearer than the weight store. */
    private mayUseStore(
        engine: PlannedEngine,
        model: PlannedModel,
        reason: EngineModelOrder["reason"],
        fits: boolean,
    ): boolean {
        if (this.storeLoadCount >= this.input.maxStoreLoadCount) return false;
        // A further copy is worth seconds of an engine only where it takes nothing's place, or relieves many requests.
        if (reason === "scale_out") {
            return fits && this.copiesOf(model.modelId) < BUSY_COPY_COUNT
                || this.storeLoadCount === 0 && this.reliefPerSecond(model, engine) >= STORE_RELIEF_PER_SECOND;
        }
        return model.oldestWaitMs >= LOCAL_PATIENCE_MS || !this.isKept(model.modelId);
    }

    /** Expected wait of adapters that can't be loaded while the engine is busy with a model. */
    private blockedMs(engine: PlannedEngine, busyMs: number): number {
        const rate = engine.resident.reduce(
            (sum, copy) => sum + (this.models.get(copy.modelId)?.adapterRatePerSecond ?? 0),
            0,
        );
        return ADAPTER_MISS_SHARE * rate * busyMs;
    }

    /** The copy that is missed least, among those whose removal makes enough room. */
    private victim(
        engine: PlannedEngine,
        model: PlannedModel,
        usedMb: number,
        reason: EngineModelOrder["reason"],
    ): ResidentCopy | undefined {
        const removable = engine.resident.filter(copy =>
            copy.activeCount === 0
            && usedMb - copy.sizeMb + model.sizeMb <= engine.memoryMb
            && this.mayRemove(engine, copy, model, reason)
        );
        return removable.sort((a, b) => this.missedMs(engine, a) - this.missedMs(engine, b))[0];
    }

    private mayRemove(
        engine: PlannedEngine,
        copy: ResidentCopy,
        wanted: PlannedModel,
        reason: EngineModelOrder["reason"],
    ): boolean {
        const model = this.models.get(copy.modelId);
        if (model === undefined) return true;
        const remaining = this.copiesOf(copy.modelId) - 1;
        if (model.waitingCount > 0 && remaining === 0) return false;
        if (reason === "waiting") return true;
        if (remaining >= Math.max(1, wantedCopies(model, this.input))) return true;
        if (reason === "scale_out") {
            const share = remaining > 0 ? OTHER_COPY_SHARE : 1;
            const missedPerSecond = share * model.ratePerSecond * CROWDED_PER_COLD_START;
            return this.reliefPerSecond(wanted, engine) > Math.max(MIN_RELIEF_PER_SECOND, missedPerSecond);
        }
        return reason === "prefetch" && copy.idleMs >= SPARE_IDLE_MS && model.ratePerSecond < BUSY_RATE_PER_SECOND;
    }

    /** Expected cost of a removal: how soon a request misses the copy, and how long its load back takes. */
    private missedMs(engine: PlannedEngine, copy: ResidentCopy): number {
        const model = this.models.get(copy.modelId);
        if (model === undefined) return 0;
        const others = this.copiesOf(copy.modelId) - 1;
        const reloadMs = this.isKeptElsewhere(engine, copy.modelId) ? model.diskLoadMs : model.storeLoadMs;
        if (others >= Math.max(1, wantedCopies(model, this.input))) return 0;
        const share = others > 0 ? OTHER_COPY_SHARE : 1;
        return share * model.ratePerSecond * reloadMs + share * RECENT_USE_MS / (1 + copy.idleMs / 1_000);
    }

    /** A busy model lacks its second copy, or its requests are crowded wherever they go. */
    private needsFurtherCopy(model: PlannedModel): boolean {
        return this.copiesOf(model.modelId) < wantedCopies(model, this.input)
            || this.reliefPerSecond(model) > MIN_RELIEF_PER_SECOND;
    }

    /** Requests per second that a copy on `target` would keep from a long pause; on an empty engine without it. */
    private reliefPerSecond(model: PlannedModel, target?: PlannedEngine): number {
        const holders = this.input.engines.filter(engine =>
            engine.open && engine.resident.some(copy => copy.modelId === model.modelId)
        );
        // A copy that is on its way has not drawn its share of the requests yet.
        if (holders.length === 0 || this.copiesOf(model.modelId) > holders.length) return 0;
        const here = Math.min(...holders.map(activeCountOf));
        const there = target === undefined ? 0 : activeCountOf(target);
        return Math.max(0, CROWDING_SHARE * model.ratePerSecond * (here - there) / 2);
    }

    private isKeptElsewhere(engine: PlannedEngine, modelId: ModelId): boolean {
        if (engine.onDisk.has(modelId) || engine.inMemory.has(modelId)) return true;
        return this.input.engines.some(other =>
            other.open && other !== engine && (other.onDisk.has(modelId) || other.inMemory.has(modelId))
        );
    }

    private isAnywhere(modelId: ModelId): boolean {
        if (this.copiesOf(modelId) > 0) return true;
        return this.input.engines.some(engine =>
            engine.open && (engine.onDisk.has(modelId) || engine.inMemory.has(modelId))
        );
    }

    /** Some engine keeps a copy, though it may be out of reach for a moment. */
    private isKept(modelId: ModelId): boolean {
        return this.isAnywhere(modelId)
            || this.input.engines.some(engine => engine.onDisk.has(modelId) || engine.inMemory.has(modelId));
    }

    private copiesOf(modelId: ModelId): number {
        return this.copies.get(modelId) ?? 0;
    }

    private addCopy(modelId: ModelId): void {
        this.copies.set(modelId, this.copiesOf(modelId) + 1);
    }
}

function wantedCopies(model: PlannedModel, input: EngineModelsInput): number {
    const forLoad = Math.ceil((model.runningCount + model.waitingCount) / input.requestsPerCopy);
    return Math.max(model.ratePerSecond >= BUSY_RATE_PER_SECOND ? BUSY_COPY_COUNT : 0, forLoad);
}

function activeCountOf(engine: PlannedEngine): number {
    return engine.resident.reduce((sum, copy) => sum + copy.activeCount, 0);
}

function originOf(engine: PlannedEngine, model: PlannedModel): Origin {
    if (engine.inMemory.has(model.modelId)) return "memory";
    return engine.onDisk.has(model.modelId) ? "disk" : "store";
}

function loadMs(origin: Origin, model: PlannedModel): number {
    if (origin === "memory") return model.memoryLoadMs;
    return origin === "disk" ? model.diskLoadMs : model.storeLoadMs;
}

/** Prefers engines with fewer models on disk, so that the models spread over all of them. */
function spreadMs(engine: PlannedEngine): number {
    return SPREAD_MS_PER_MODEL * engine.onDisk.size;
}
