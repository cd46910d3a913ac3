import type { CheckpointLocality, ResolvedEngineOptions } from "../types/engine.ts";
import { consumeFault, type EngineFaults } from "./engine-faults.ts";
import type { Journal } from "./journal.ts";

export type ModelState = "LOADING" | "READY" | "UNLOADING" | "UNAVAILABLE" | "FAILED";

export interface RepositoryModel {
    readonly name: string;
    version: string;
    state: ModelState;
    memoryBytes: number;
    /** Nearest storage of the checkpoint, which determines the duration of the next load. */
    locality: CheckpointLocality;
    readonly adapters: Set<string>;
    /** Result of the load in progress, which further load orders for the model share. */
    loading: Promise<EngineOrderResult> | undefined;
    runningCount: number;
    /** Called when the last running request ends; set while an unload waits for this. */
    onIdle: (() => void) | undefined;
}

export interface EngineOrderParameters {
    readonly version?: string | undefined;
    readonly memory_bytes?: number | undefined;
    readonly fencing_token?: number | undefined;
    readonly adapter?: string | undefined;
}

export interface EngineOrderResult {
    readonly status: 200 | 400 | 409;
    readonly error?: string;
}

// Unloaded models whose checkpoint stays in host memory; the checkpoints of models unloaded earlier are on disk.
const MAX_HOST_MEMORY_CHECKPOINTS = 2;

const OK: EngineOrderResult = { status: 200 };

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Holds the models and adapters of one engine and executes the orders that load and unload them. */
export class EngineRepository {
    readonly models = new Map<string, RepositoryModel>();
    private readonly options: ResolvedEngineOptions;
    private readonly journal: Journal;
    private readonly faults: EngineFaults;
    private readonly modelsInHostMemory: RepositoryModel[] = [];
    private newestFencingToken = 0;

    constructor(options: ResolvedEngineOptions, journal: Journal, faults: EngineFaults) {
        this.options = options;
        this.journal = journal;
        this.faults = faults;
        for (const name of options.cachedModelIds) this.findOrCreateModel(name).locality = "disk";
    }

    /** Returns the memory of all models that are loading, loaded or unloading. */
    usedBytes(): number {
        const resident = [...this.models.values()].filter(({ state }) =>
            state === "LOADING" || state === "READY" || state === "UNLOADING"
        );
        return resident.reduce((sum, model) => sum + model.memoryBytes, 0);
    }

    index(): readonly object[] {
        return [...this.models.values()].map(model => ({
            name: model.name,
            version: model.version,
            state: model.state,
            parameters: {
                memory_bytes: model.memoryBytes,
                locality: model.locality,
                adapters: [...model.adapters],
            },
        }));
    }

    /** Finds the loaded model for a request's model name: a model, an adapter or `<model>:<adapter>`. */
    findReadyModel(name: string): RepositoryModel | undefined {
        const [modelName = "", adapter] = name.split(":");
        const model = this.models.get(modelName);
        if (model?.state === "READY" && (adapter === undefined || model.adapters.has(adapter))) return model;
        return [...this.models.values()].find(other => other.state === "READY" && other.adapters.has(name));
    }

    /** Counts a running request of a model; returns the function that ends the count. */
    addRunningRequest(model: RepositoryModel): () => void {
        model.runningCount++;
        return () => {
            model.runningCount--;
            if (model.runningCount === 0) model.onIdle?.();
        };
    }

    async load(name: string, parameters: EngineOrderParameters): Promise<EngineOrderResult> {
        const refusal = this.checkFencingToken("load", name, parameters.fencing_token);
        if (refusal !== undefined) return refusal;
        if (parameters.adapter !== undefined) return this.loadAdapter(name, parameters.adapter);
        const model = this.findOrCreateModel(name);
        const version = parameters.version ?? "1";
        if (model.state === "UNLOADING") return this.refuse("load", name, 409, "the model is unloading");
        const isResident = model.state === "READY" || model.state === "LOADING";
        if (isResident && model.version !== version) return this.refuse("load", name, 409, "another version is loaded");
        if (model.state === "READY") return OK;
        if (model.loading !== undefined) return model.loading;
        model.loading = this.loadModel(model, version, parameters);
        const result = await model.loading;
        model.loading = undefined;
        return result;
    }

    async unload(name: string, parameters: EngineOrderParameters): Promise<EngineOrderResult> {
        const refusal = this.checkFencingToken("unload", name, parameters.fencing_token);
        if (refusal !== undefined) return refusal;
        const model = this.models.get(name);
        if (model === undefined || model.state === "UNAVAILABLE" || model.state === "FAILED") return OK;
        if (model.state !== "READY") {
            return this.refuse("unload", name, 409, `the model is ${model.state.toLowerCase()}`);
        }
        model.state = "UNLOADING";
        this.journal.add("unload_started", {
            modelId: name,
            running: model.runningCount,
            ...toFencingTokenField(parameters),
        });
        if (model.runningCount > 0) {
            await new Promise<void>(resolve => {
                model.onIdle = resolve;
            });
            model.onIdle = undefined;
        }
        await sleep(this.options.unloadMs);
        this.removeFromMemory(model, "UNAVAILABLE");
        this.keepInHostMemory(model);
        this.journal.add("unload_finished", { modelId: name, usedBytes: this.usedBytes() });
        return OK;
    }

    private findOrCreateModel(name: string): RepositoryModel {
        const found = this.models.get(name);
        if (found !== undefined) return found;
        const model: RepositoryModel = {
            name,
            version: "1",
            state: "UNAVAILABLE",
            memoryBytes: 0,
            locality: "remote",
            adapters: new Set(),
            loading: undefined,
            runningCount: 0,
            onIdle: undefined,
        };
        this.models.set(name, model);
        return model;
    }

    private async loadModel(
        model: RepositoryModel,
        version: string,
        order: EngineOrderParameters,
    ): Promise<EngineOrderResult> {
        model.version = version;
        model.memoryBytes = order.memory_bytes ?? 0;
        model.state = "LOADING";
        const fields = { modelId: model.name, version, place: model.locality, memoryBytes: model.memoryBytes };
        const usedBytes = this.usedBytes();
        this.journal.add("load_started", { ...fields, usedBytes, ...toFencingTokenField(order) });
        if (usedBytes > this.options.memorySizeBytes) {
            this.journal.add("overcommit", { modelId: model.name, usedBytes, sizeBytes: this.options.memorySizeBytes });
        }
        const durationMs = this.options.loadMs[model.locality] * this.faults.loadSlowFactor;
        if (model.locality === "remote") await this.options.weightStore.load(durationMs);
        else await sleep(durationMs);
        if (consumeFault(this.faults, "failLoads")) {
            this.removeFromMemory(model, "FAILED");
            this.journal.add("load_failed", fields);
            return { status: 400, error: "the checkpoint could not be read" };
        }
        model.state = "READY";
        model.locality = "memory";
        this.journal.add("load_finished", fields);
        return OK;
    }

    private async loadAdapter(name: string, adapter: string): Promise<EngineOrderResult> {
        const model = this.models.get(name);
        if (model?.state !== "READY") return this.refuse("load_adapter", name, 409, "the model is not loaded");
        if (model.adapters.has(adapter)) return OK;
        this.journal.add("adapter_load_started", { modelId: name, adapterId: adapter });
        await this.options.weightStore.loadAdapter();
        if (model.state === "READY") model.adapters.add(adapter);
        this.journal.add("adapter_load_finished", { modelId: name, adapterId: adapter });
        return OK;
    }

    /** Returns a refusal for an outdated fencing token, or only journals it if fencing is not checked. */
    private checkFencingToken(
        order: string,
        name: string,
        fencingToken: number | undefined,
    ): EngineOrderResult | undefined {
        if (fencingToken === undefined) return undefined;
        if (fencingToken >= this.newestFencingToken) {
            this.newestFencingToken = fencingToken;
            return undefined;
        }
        if (this.options.checksFencing) return this.refuse(order, name, 409, `fencing token ${fencingToken} is old`);
        this.journal.add("stale_order", {
            order,
            modelId: name,
            token: fencingToken,
            newestToken: this.newestFencingToken,
        });
        return undefined;
    }

    private refuse(order: string, name: string, status: 400 | 409, error: string): EngineOrderResult {
        this.journal.add("order_refused", { order, modelId: name, reason: error });
        return { status, error };
    }

    private removeFromMemory(model: RepositoryModel, state: "UNAVAILABLE" | "FAILED"): void {
        model.state = state;
        model.memoryBytes = 0;
        model.adapters.clear();
    }

    private keepInHostMemory(model: RepositoryModel): void {
        const index = this.modelsInHostMemory.indexOf(model);
        if (index >= 0) this.modelsInHostMemory.splice(index, 1);
        this.modelsInHostMemory.push(model);
        if (this.modelsInHostMemory.length <= MAX_HOST_MEMORY_CHECKPOINTS) return;
        const oldest = this.modelsInHostMemory.shift()!;
        if (oldest.state !== "READY" && oldest.state !== "LOADING") oldest.locality = "disk";
    }
}

function toFencingTokenField(order: EngineOrderParameters): object {
    return order.fencing_token === undefined ? {} : { token: order.fencing_token };
}
