import { type Logger, sleep } from "@skylarkmill/coordination";
import type { AdapterId, ModelId } from "@skylarkmill/protocol";
import type { EngineClient, EngineOrder, EngineReport, OrderOutcome, ServerRecord } from "../types/engine.ts";
import type { AdapterTarget, EngineState } from "../types/placement.ts";
import { nowMs } from "../utils/clock.ts";

/** A report lags by some hundred milliseconds; one asked for this long after an order shows its effect. */
const REPORT_LAG_MS = 350;
/** A report this long after a load shows which copies are left in most cases. */
const COPIES_LAG_MS = 150;
/** Pause between two questions whether an order is complete. */
const CONFIRM_INTERVAL_MS = 40;
/** A load that is late is asked for after further pauses of this share of its expected time. */
const CONFIRM_SHARE = 0.05;
/** An order counts as failed when it is not complete after this many times its expected time, and at least this long. */
const CONFIRM_TIME_FACTOR = 4;
const MIN_CONFIRM_MS = 3_000;
/** Longest wait for an unload, which ends with the model's last request; then the engine's state is read again. */
const UNLOAD_LIMIT_MS = 4_000;
/** Expected time of an adapter's load; the weight store delivers one in 5 to 10 ms. */
const ADAPTER_LOAD_MS = 10;
/** An order without an answer is sent again this often; the sequence it expects keeps it from taking effect twice. */
const MAX_LOST_REPEATS = 2;
/** Time for which an engine that can't be reached gets no orders. */
const UNREACHABLE_MS = 1_000;
/** An engine takes this many adapters at a time. */
const MAX_COMING_ADAPTERS = 4;

export interface ModelJob {
    readonly load: ModelId;
    readonly unload: ModelId | undefined;
    readonly origin: "memory" | "disk" | "store";
    readonly expectedMs: number;
}

export interface EngineWorkerOptions {
    readonly engines: EngineClient;
    readonly holder: string;
    /** Fencing token for an order that is sent right now; undefined when this host may not order. */
    readonly token: () => number | undefined;
    readonly onFenced: () => void;
    readonly logger: Logger;
    readonly onChange: () => void;
    readonly onOrder: (kind: string, outcome: OrderOutcome | "no_right") => void;
}

interface HeldState {
    readonly adapters: Set<AdapterId>;
}

/** Sends orders to one model engine, one at a time, and knows what the engine holds. */
export class EngineWorker {
    readonly record: ServerRecord;
    readonly held = new Map<ModelId, HeldState>();
    readonly onDisk = new Set<ModelId>();
    readonly inMemory = new Set<ModelId>();
    /** Model job in progress. */
    job: (ModelJob & { readonly startedAtMs: number; }) | undefined;
    /** Adapters that are being loaded, as `model/adapter`. */
    readonly coming = new Set<string>();
    /** The engine's state has been read since its start. */
    isKnown = false;
    private sequence = 0;
    private unreachableUntilMs = -Infinity;
    private queue: Promise<unknown> = Promise.resolve();
    private isStopped = false;
    private settling: Promise<void> | undefined;

    constructor(record: ServerRecord, private readonly options: EngineWorkerOptions) {
        this.record = record;
    }

    stop(): void {
        this.isStopped = true;
    }

    isReachable(now: number): boolean {
        return now >= this.unreachableUntilMs;
    }

    get isIdle(): boolean {
        return this.isKnown && this.job === undefined;
    }

    /** An engine refuses adapter orders while a model order is in progress. */
    get canTakeAdapter(): boolean {
        return this.isIdle && this.coming.size < MAX_COMING_ADAPTERS;
    }

    /** Adapters that are loaded or on their way. */
    adapterCount(): number {
        let count = this.coming.size;
        for (const { adapters } of this.held.values()) count += adapters.size;
        return count;
    }

    toState(now: number): EngineState {
        const models = [...this.held].map(([modelId, { adapters }]) => ({
            modelId,
            adapterIds: [...adapters],
            leaving: this.job?.unload === modelId,
        }));
        const { job } = this;
        return {
            serverId: this.record.serverId,
            bornAtMs: this.record.bornAtMs,
            idle: this.isIdle && this.isReachable(now) && this.options.token() !== undefined,
            models,
            onDisk: [...this.onDisk],
            inMemory: [...this.inMemory],
            job: job === undefined ? undefined : {
                load: job.load,
                unload: job.unload,
                origin: job.origin,
                expectedMs: job.expectedMs,
            },
            coming: [...this.coming],
        };
    }

    /** Reads what the engine holds; false when it can't be reached. */
    async refresh(): Promise<boolean> {
        const report = await this.options.engines.report(this.record);
        if (this.isStopped) return false;
        if (report.isErr() || report.value.bornAtMs !== this.record.bornAtMs) {
            this.markUnreachable();
            return false;
        }
        this.take(report.value);
        return true;
    }

    /** Reads the engine's state until it is known and no order is in progress. */
    async learn(): Promise<void> {
        while (!this.isStopped && !this.isKnown) {
            const isReached = await this.refresh();
            if (!this.isKnown) await sleep(isReached ? CONFIRM_INTERVAL_MS * 2 : UNREACHABLE_MS / 2);
        }
        this.options.onChange();
    }

    /** Unloads and loads a model; resolves when the engine has confirmed or the job has failed. */
    async run(job: ModelJob): Promise<void> {
        this.job = { ...job, startedAtMs: nowMs() };
        this.options.onChange();
        const { load, unload } = job;
        const succeeded = (unload === undefined || await this.unloadModel(unload)) && await this.loadModel(job);
        const tookMs = Math.round(nowMs() - this.job.startedAtMs);
        this.options.logger.info({
            step: "engine.model",
            server: this.record.serverId,
            load,
            unload,
            origin: job.origin,
            tookMs,
            succeeded,
        }, "model order ended");
        if (!succeeded) await this.settleOnce();
        this.job = undefined;
        this.options.onChange();
        if (succeeded) await this.refreshCopies();
    }

    /** A load can push copies out of the engine's memory and disk. */
    private async refreshCopies(): Promise<void> {
        await sleep(COPIES_LAG_MS);
        if (this.isStopped || !this.isIdle) return;
        const report = await this.options.engines.report(this.record);
        if (report.isErr() || report.value.sequence !== this.sequence) return;
        replaceAll(this.onDisk, report.value.onDisk);
        replaceAll(this.inMemory, report.value.inMemory);
        this.options.onChange();
    }

    /** Loads an adapter, in place of `victim` when the engine has no place left. */
    async loadAdapter(modelId: ModelId, adapterId: AdapterId, victim: AdapterTarget | undefined): Promise<void> {
        const key = `${modelId}/${adapterId}`;
        this.coming.add(key);
        const done = await this.replaceAdapter(modelId, adapterId, victim);
        this.coming.delete(key);
        if (done) this.held.get(modelId)?.adapters.add(adapterId);
        else await this.settleOnce();
        this.options.onChange();
    }

    private async replaceAdapter(
        modelId: ModelId,
        adapterId: AdapterId,
        victim: AdapterTarget | undefined,
    ): Promise<boolean> {
        if (victim !== undefined) {
            this.held.get(victim.modelId)?.adapters.delete(victim.adapterId);
            this.options.onChange();
            const removed = await this.order("unload", victim.modelId, victim.adapterId);
            if (removed !== "accepted" && removed !== "already_held") return false;
        }
        const first = await this.order("load", modelId, adapterId);
        if (first === "already_held") return true;
        if (first !== "accepted") return false;
        await sleep(ADAPTER_LOAD_MS);
        return true;
    }

    private async unloadModel(modelId: ModelId): Promise<boolean> {
        const outcome = await this.order("unload", modelId);
        if (outcome !== "accepted" && outcome !== "already_held") return false;
        return true;
    }

    /** Orders a load, and repeats the order until the engine says that it holds the model. */
    private async loadModel(job: ModelJob): Promise<boolean> {
        if (!await this.startLoad(job)) return false;
        if (job.unload !== undefined) this.held.delete(job.unload);
        const endAtMs = nowMs() + Math.max(MIN_CONFIRM_MS, CONFIRM_TIME_FACTOR * job.expectedMs);
        await sleep(job.expectedMs);
        while (nowMs() < endAtMs && !this.isStopped) {
            // The engine accepts the order that is in progress once more, without counting it.
            const outcome = await this.order("load", job.load, undefined, true);
            if (outcome === "already_held") {
                this.noteLoaded(job);
                return true;
            }
            if (outcome !== "accepted") return false;
            await sleep(Math.max(CONFIRM_INTERVAL_MS, job.expectedMs * CONFIRM_SHARE));
        }
        return false;
    }

    /** Sends the order until the engine has completed the unload before it. */
    private async startLoad(job: ModelJob): Promise<boolean> {
        const endAtMs = nowMs() + UNLOAD_LIMIT_MS;
        while (nowMs() < endAtMs && !this.isStopped) {
            const outcome = await this.order("load", job.load);
            if (outcome === "accepted" || outcome === "already_held") return true;
            if (outcome !== "stale") return false;
            await sleep(CONFIRM_INTERVAL_MS);
        }
        return false;
    }

    private noteLoaded(job: ModelJob): void {
        if (!this.held.has(job.load)) this.held.set(job.load, { adapters: new Set() });
        this.onDisk.add(job.load);
    }

    /** Sends one order; orders to one engine never overlap. */
    private order(
        kind: EngineOrder["kind"],
        modelId: ModelId,
        adapterId?: AdapterId,
        isRepeat = false,
    ): Promise<OrderOutcome | "no_right"> {
        const next = this.queue.then(() => this.sendOrder(kind, modelId, adapterId, isRepeat));
        this.queue = next;
        return next;
    }

    private async sendOrder(
        kind: EngineOrder["kind"],
        modelId: ModelId,
        adapterId: AdapterId | undefined,
        isRepeat: boolean,
    ): Promise<OrderOutcome | "no_right"> {
        const { token, holder, onOrder, onFenced } = this.options;
        const fencingToken = token();
        if (this.isStopped || fencingToken === undefined) return "no_right";
        const expectedSequence = this.sequence;
        const order = { kind, modelId, adapterId, expectedSequence, holder, fencingToken };
        const outcome = await this.sendUntilAnswered(order);
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
        // An adapter is removed at once, which counts as an order although the engine says that it already holds.
        const isDoneAtOnce = outcome === "already_held" && kind === "unload" && adapterId !== undefined;
        if (outcome === "accepted" && !isRepeat || isDoneAtOnce) this.sequence += 1;
        if (outcome === "fenced") onFenced();
        if (outcome === "unknown" || outcome === "gone") this.markUnreachable();
        return outcome;
    }

    /** Sends an order again while no answer comes, as long as this host may order. */
    private async sendUntilAnswered(order: EngineOrder): Promise<OrderOutcome> {
        const { engines, token } = this.options;
        let outcome = await engines.order(this.record, order);
        for (let repeat = 0; repeat < MAX_LOST_REPEATS && outcome === "unknown"; repeat += 1) {
            if (this.isStopped || token() !== order.fencingToken) return outcome;
            outcome = await engines.order(this.record, order);
            // Either the lost one took effect, or another order is in progress; only the engine's state tells.
            if (outcome === "stale") return "superseded";
        }
        return outcome;
    }

    /** Settles once for all orders that failed at the same time. */
    private settleOnce(): Promise<void> {
        this.settling ??= this.settle().finally(() => {
            this.settling = undefined;
        });
        return this.settling;
    }

    /** Reads the engine's state again once a report can show the effect of the last order. */
    private async settle(): Promise<void> {
        this.isKnown = false;
        await sleep(REPORT_LAG_MS);
        await this.learn();
    }

    private take(report: EngineReport): void {
        this.sequence = report.sequence;
        this.held.clear();
        for (const { modelId, adapterIds } of report.models) this.held.set(modelId, { adapters: new Set(adapterIds) });
        replaceAll(this.onDisk, report.onDisk);
        replaceAll(this.inMemory, report.inMemory);
        this.unreachableUntilMs = -Infinity;
        // An adapter on its way takes a place and is not among the loaded ones yet.
        this.isKnown = !report.busy && report.comingAdapterCount === 0;
    }

    private markUnreachable(): void {
        this.unreachableUntilMs = nowMs() + UNREACHABLE_MS;
    }
}

function replaceAll<T>(set: Set<T>, values: readonly T[]): void {
    set.clear();
    for (const value of values) set.add(value);
}
