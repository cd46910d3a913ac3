import { type Logger, nowMs, sleep } from "@skylarkmill/coordination";
import type { AdapterId, ModelId } from "@skylarkmill/protocol";
import type { EngineClient, EngineOrder, EngineReport, OrderOutcome, ServerRecord } from "../types/engine.ts";
import type { AdapterTarget, EngineState } from "../types/placement.ts";

/** Reports lag by a few hundred milliseconds; a report read this long after an order shows the order's effect. */
const REPORT_LAG_MS = 350;
/** In most cases a report read this long after a load shows which cached weight copies remain. */
const CACHED_COPIES_LAG_MS = 150;
/** Interval between checks whether an order is complete. */
const CONFIRM_INTERVAL_MS = 40;
/** Interval between checks of a load that takes longer than expected, as a share of its expected time. */
const CONFIRM_INTERVAL_SHARE = 0.05;
/** A load counts as failed if it is incomplete after this multiple of its expected time and the minimum below. */
const CONFIRM_TIMEOUT_FACTOR = 4;
const MIN_CONFIRM_TIMEOUT_MS = 3_000;
/** Longest wait for an unload, which ends with the model's last request; then the engine's state is read again. */
const UNLOAD_TIMEOUT_MS = 4_000;
/** Expected duration of an adapter load; the weight store delivers an adapter in 5 to 10 ms. */
const ADAPTER_LOAD_MS = 10;
/** Retries of an order without a result; the expected sequence keeps the order from taking effect twice. */
const MAX_ORDER_RETRIES = 2;
/** Time for which no orders are sent to an engine that can't be reached. */
const UNREACHABLE_PAUSE_MS = 1_000;
/** Largest number of adapters that an engine loads at a time. */
const MAX_PENDING_ADAPTERS = 4;

/** A model load to run, with the unload before it if there is one; reported as `EngineJob` while it is in progress. */
export interface ModelJob {
    readonly load: ModelId;
    readonly unload: ModelId | undefined;
    readonly origin: "memory" | "disk" | "store";
    /** Expected duration of the load, without the unload before it. */
    readonly expectedMs: number;
}

export interface EngineControllerOptions {
    readonly engineClient: EngineClient;
    /** Name of this host, sent with each order. */
    readonly host: string;
    /** Fencing token for an order that is sent now; undefined if this host must not send orders to the engine. */
    readonly getFencingToken: () => number | undefined;
    readonly onFenced: () => void;
    /** Time for which the engine still wants nothing from this host; 0 if orders and reads may be sent. */
    readonly getHoldMs: () => number;
    readonly logger: Logger;
    readonly onChange: () => void;
    readonly onOrder: (kind: string, outcome: OrderOutcome | "no_right") => void;
}

interface LoadedModelState {
    readonly adapters: Set<AdapterId>;
}

/** Sends orders to one model engine, one at a time, and tracks its loaded models, adapters and weight copies. */
export class EngineController {
    readonly record: ServerRecord;
    /** Loaded models, with the adapters that are loaded for them. */
    readonly models = new Map<ModelId, LoadedModelState>();
    readonly onDisk = new Set<ModelId>();
    readonly inMemory = new Set<ModelId>();
    /** Model job that is in progress. */
    currentJob: (ModelJob & { readonly startedAtMs: number; }) | undefined;
    /** Keys of the adapters that are being loaded, as `model/adapter`. */
    readonly pendingAdapters = new Set<string>();
    /** Whether the tracked state matches the engine: no order has failed since the engine's state was read. */
    isStateKnown = false;
    /** Whether the engine last reported an order in progress. */
    private isReportedBusy = false;
    private sequence = 0;
    private unreachableUntilMs = -Infinity;
    private orderQueue: Promise<unknown> = Promise.resolve();
    private isStopped = false;
    private resyncing: Promise<void> | undefined;

    constructor(record: ServerRecord, private readonly options: EngineControllerOptions) {
        this.record = record;
    }

    stop(): void {
        this.isStopped = true;
    }

    isReachable(now: number): boolean {
        return now >= this.unreachableUntilMs;
    }

    get isIdle(): boolean {
        return this.isStateKnown && this.currentJob === undefined;
    }

    /** Whether an adapter can be loaded now; engines refuse adapter orders while a model order is in progress. */
    get canLoadAdapter(): boolean {
        return this.isIdle && this.pendingAdapters.size < MAX_PENDING_ADAPTERS;
    }

    /** Number of adapters that are loaded or being loaded. */
    countAdapters(): number {
        let count = this.pendingAdapters.size;
        for (const { adapters } of this.models.values()) count += adapters.size;
        return count;
    }

    toState(now: number): EngineState {
        const models = [...this.models].map(([modelId, { adapters }]) => ({
            modelId,
            adapterIds: [...adapters],
            leaving: this.currentJob?.unload === modelId,
        }));
        const { currentJob } = this;
        return {
            serverId: this.record.serverId,
            bornAtMs: this.record.bornAtMs,
            idle: this.isIdle && this.isReachable(now) && this.options.getFencingToken() !== undefined,
            models,
            onDisk: [...this.onDisk],
            inMemory: [...this.inMemory],
            job: currentJob === undefined ? undefined : {
                load: currentJob.load,
                unload: currentJob.unload,
                origin: currentJob.origin,
                expectedMs: currentJob.expectedMs,
            },
            hasOtherOrder: !this.isStateKnown && this.isReportedBusy && currentJob === undefined,
            coming: [...this.pendingAdapters],
        };
    }

    /** Reads the engine's state; returns false if the engine can't be reached or has restarted. */
    async readState(): Promise<boolean> {
        await this.waitForHold();
        if (this.isStopped) return false;
        const report = await this.options.engineClient.readReport(this.record);
        if (this.isStopped) return false;
        if (report.isErr() || report.value.bornAtMs !== this.record.bornAtMs) {
            this.markUnreachable();
            return false;
        }
        this.applyState(report.value);
        return true;
    }

    /** Reads the engine's state repeatedly until a report shows that no order is in progress. */
    async syncState(): Promise<void> {
        while (!this.isStopped && !this.isStateKnown) {
            const isReached = await this.readState();
            if (!this.isStateKnown) await sleep(isReached ? CONFIRM_INTERVAL_MS * 2 : UNREACHABLE_PAUSE_MS / 2);
        }
        this.options.onChange();
    }

    /** Unloads and loads a model; resolves when the engine has confirmed the load or the job has failed. */
    async runModelJob(job: ModelJob): Promise<void> {
        this.currentJob = { ...job, startedAtMs: nowMs() };
        this.options.onChange();
        const { load, unload } = job;
        const succeeded = (unload === undefined || await this.unloadModel(unload)) && await this.loadModel(job);
        const tookMs = Math.round(nowMs() - this.currentJob.startedAtMs);
        this.options.logger.info({
            step: "engine.model",
            server: this.record.serverId,
            load,
            unload,
            origin: job.origin,
            tookMs,
            succeeded,
        }, "model job finished");
        if (!succeeded) await this.resyncOnce();
        this.currentJob = undefined;
        this.options.onChange();
        if (succeeded) await this.refreshCopies();
    }

    /** Reads the cached weight copies again, since a load can evict copies from main memory and from the disk. */
    private async refreshCopies(): Promise<void> {
        await sleep(CACHED_COPIES_LAG_MS);
        await this.waitForHold();
        if (this.isStopped || !this.isIdle) return;
        const report = await this.options.engineClient.readReport(this.record);
        if (report.isErr() || report.value.sequence !== this.sequence) return;
        replaceValues(this.onDisk, report.value.onDisk);
        replaceValues(this.inMemory, report.value.inMemory);
        this.options.onChange();
    }

    /** Loads an adapter, after unloading `victim` if one is given because the engine has no room for one more. */
    async loadAdapter(modelId: ModelId, adapterId: AdapterId, victim: AdapterTarget | undefined): Promise<void> {
        const key = `${modelId}/${adapterId}`;
        this.pendingAdapters.add(key);
        const succeeded = await this.replaceAdapter(modelId, adapterId, victim);
        this.pendingAdapters.delete(key);
        if (succeeded) this.models.get(modelId)?.adapters.add(adapterId);
        else await this.resyncOnce();
        this.options.onChange();
    }

    private async replaceAdapter(
        modelId: ModelId,
        adapterId: AdapterId,
        victim: AdapterTarget | undefined,
    ): Promise<boolean> {
        if (victim !== undefined) {
            this.models.get(victim.modelId)?.adapters.delete(victim.adapterId);
            this.options.onChange();
            const unloadOutcome = await this.enqueueOrder("unload", victim.modelId, victim.adapterId);
            if (unloadOutcome !== "accepted" && unloadOutcome !== "already_held") return false;
        }
        const loadOutcome = await this.enqueueOrder("load", modelId, adapterId);
        if (loadOutcome === "already_held") return true;
        if (loadOutcome !== "accepted") return false;
        await sleep(ADAPTER_LOAD_MS);
        return true;
    }

    private async unloadModel(modelId: ModelId): Promise<boolean> {
        const outcome = await this.enqueueOrder("unload", modelId);
        if (outcome !== "accepted" && outcome !== "already_held") return false;
        return true;
    }

    /** Orders a load and repeats the order until the engine responds that the model is already loaded. */
    private async loadModel(job: ModelJob): Promise<boolean> {
        if (!await this.startLoad(job)) return false;
        if (job.unload !== undefined) this.models.delete(job.unload);
        const endAtMs = nowMs() + Math.max(MIN_CONFIRM_TIMEOUT_MS, CONFIRM_TIMEOUT_FACTOR * job.expectedMs);
        await sleep(job.expectedMs);
        while (nowMs() < endAtMs && !this.isStopped) {
            // The engine accepts a repetition of the order in progress without advancing its sequence.
            const outcome = await this.enqueueOrder("load", job.load, undefined, true);
            if (outcome === "already_held") {
                this.recordLoadedModel(job);
                return true;
            }
            if (outcome !== "accepted") return false;
            await sleep(Math.max(CONFIRM_INTERVAL_MS, job.expectedMs * CONFIRM_INTERVAL_SHARE));
        }
        return false;
    }

    /** Sends the load order until the engine accepts it, which it does after the preceding unload is complete. */
    private async startLoad(job: ModelJob): Promise<boolean> {
        const endAtMs = nowMs() + UNLOAD_TIMEOUT_MS;
        while (nowMs() < endAtMs && !this.isStopped) {
            const outcome = await this.enqueueOrder("load", job.load);
            if (outcome === "accepted" || outcome === "already_held") return true;
            if (outcome !== "stale") return false;
            await sleep(CONFIRM_INTERVAL_MS);
        }
        return false;
    }

    private recordLoadedModel(job: ModelJob): void {
        if (!this.models.has(job.load)) this.models.set(job.load, { adapters: new Set() });
        this.onDisk.add(job.load);
    }

    /** Sends an order after the orders before it are done; orders to one engine never overlap. */
    private enqueueOrder(
        kind: EngineOrder["kind"],
        modelId: ModelId,
        adapterId?: AdapterId,
        isConfirmation = false,
    ): Promise<OrderOutcome | "no_right"> {
        const next = this.orderQueue.then(() => this.sendOrder(kind, modelId, adapterId, isConfirmation));
        this.orderQueue = next;
        return next;
    }

    private async sendOrder(
        kind: EngineOrder["kind"],
        modelId: ModelId,
        adapterId: AdapterId | undefined,
        isConfirmation: boolean,
    ): Promise<OrderOutcome | "no_right"> {
        const { getFencingToken, host: holder, onOrder, onFenced } = this.options;
        await this.waitForHold();
        const fencingToken = getFencingToken();
        if (this.isStopped || fencingToken === undefined) return "no_right";
        const expectedSequence = this.sequence;
        const order = { kind, modelId, adapterId, expectedSequence, holder, fencingToken };
        const outcome = await this.sendWithRetries(order);
        onOrder(adapterId === undefined ? kind : `${kind}_adapter`, outcome);
        this.options.logger.debug({
            step: "engine.order",
            server: this.record.serverId,
            kind,
            model: modelId,
            adapter: adapterId,
            expectedSequence,
            outcome,
        }, "order sent");
        // The engine unloads an adapter immediately: it responds `already_held` and still advances its sequence.
        const isImmediateUnload = outcome === "already_held" && kind === "unload" && adapterId !== undefined;
        if (outcome === "accepted" && !isConfirmation || isImmediateUnload) this.sequence += 1;
        if (outcome === "fenced") onFenced();
        if (outcome === "unknown" || outcome === "gone") this.markUnreachable();
        return outcome;
    }

    /** Sends an order and retries it while no result arrives, as long as the fencing token stays valid. */
    private async sendWithRetries(order: EngineOrder): Promise<OrderOutcome> {
        const { engineClient, getFencingToken } = this.options;
        let outcome = await engineClient.sendOrder(this.record, order);
        for (let retryCount = 0; retryCount < MAX_ORDER_RETRIES && outcome === "unknown"; retryCount += 1) {
            await this.waitForHold();
            if (this.isStopped || getFencingToken() !== order.fencingToken) return outcome;
            outcome = await engineClient.sendOrder(this.record, order);
            // Either the first attempt took effect or another order is in progress; the engine's state shows which.
            if (outcome === "stale") return "superseded";
        }
        return outcome;
    }

    /** Reads the engine's state again, once for all orders that failed at the same time. */
    private resyncOnce(): Promise<void> {
        this.resyncing ??= this.resync().finally(() => {
            this.resyncing = undefined;
        });
        return this.resyncing;
    }

    /** Reads the engine's state again after the delay with which reports show the effect of the last order. */
    private async resync(): Promise<void> {
        this.isStateKnown = false;
        await sleep(REPORT_LAG_MS);
        await this.syncState();
    }

    private applyState(state: EngineReport): void {
        this.sequence = state.sequence;
        this.models.clear();
        for (const { modelId, adapterIds } of state.models) this.models.set(modelId, { adapters: new Set(adapterIds) });
        replaceValues(this.onDisk, state.onDisk);
        replaceValues(this.inMemory, state.inMemory);
        this.unreachableUntilMs = -Infinity;
        // An adapter that is being loaded takes up capacity but is not in the list of loaded adapters yet.
        this.isReportedBusy = state.isBusy;
        this.isStateKnown = !state.isBusy && state.pendingAdapterCount === 0;
    }

    /** Waits while the engine wants nothing from this host; a hold may be extended meanwhile. */
    private async waitForHold(): Promise<void> {
        while (!this.isStopped) {
            const holdMs = this.options.getHoldMs();
            if (holdMs <= 0) return;
            await sleep(holdMs);
        }
    }

    private markUnreachable(): void {
        this.unreachableUntilMs = nowMs() + UNREACHABLE_PAUSE_MS;
    }
}

function replaceValues<T>(set: Set<T>, values: readonly T[]): void {
    set.clear();
    for (const value of values) set.add(value);
}
