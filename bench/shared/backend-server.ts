import type {
    AdmissionPolicy,
    QueueEntry,
    QueueOrder,
    ResidencyModel,
    ResidencyPolicy,
    SlotUsage,
} from "@skylarkmill/policy";
import type { DataCentre, ModelId, ServerId, ServiceId } from "@skylarkmill/protocol";
import type { EventQueue, ScheduledEvent } from "./event-queue.ts";
import type { ModelSpec } from "./workload.ts";

export type AttemptEnd = "response" | "refusal";

/** One attempt to run a request at one server. */
export interface Attempt extends QueueEntry {
    readonly modelId: ModelId;
    readonly serviceId: ServiceId;
    readonly workMs: number;
    startedAtMs: number | undefined;
    hasWaitedForLoad: boolean;
    onFirstToken: () => void;
    onEnd: (result: AttemptEnd) => void;
}

/** Share of an attempt's duration that passes until its first token. */
const FIRST_TOKEN_SHARE = 0.2;

/** State of a server as it is reported to the routers. */
export interface ServerReport {
    readonly atMs: number;
    readonly reportedCount: number;
    readonly backlogMs: number;
    readonly loaded: ReadonlySet<ModelId>;
    readonly loading: ReadonlySet<ModelId>;
}

export interface BackendServerSettings {
    readonly serverId: ServerId;
    readonly dataCentre: DataCentre;
    readonly slotCount: number;
    readonly memoryBytes: number;
    readonly specs: ReadonlyMap<ModelId, ModelSpec>;
    readonly queue: QueueOrder<Attempt>;
    readonly admission: AdmissionPolicy;
    readonly residency: ResidencyPolicy;
    readonly startLoad: (serverId: ServerId, modelId: ModelId, done: () => void) => void;
    readonly loadMs: (serverId: ServerId, modelId: ModelId) => number;
    readonly onModelsChanged: (server: BackendServer) => void;
}

interface LoadedModel {
    readonly spec: ModelSpec;
    isReady: boolean;
    loadedAtMs: number;
    lastUsedAtMs: number;
    inUseCount: number;
    idleSinceMs: number | undefined;
}

interface RunningAttempt {
    /** Scheduled first token or end of the attempt. */
    nextEvent: ScheduledEvent;
    hasSentFirstToken: boolean;
    /** Work until `nextEvent` at normal speed, as of `sinceMs`. */
    remainingMs: number;
    /** Time at which `remainingMs` was last set. */
    sinceMs: number;
}

/** Simulates an engine with its agent: slots, memory and loads. The policies of the product make the decisions. */
export class BackendServer {
    readonly serverId: ServerId;
    readonly dataCentre: DataCentre;
    /** Memory of idle loaded models multiplied by their idle time, summed up in byte milliseconds. */
    idleByteMs = 0;
    private slowness = 1;
    private freeBytes: number;
    private readonly models = new Map<ModelId, LoadedModel>();
    private readonly running = new Map<Attempt, RunningAttempt>();
    private readonly arrivals = new Map<ModelId, number[]>();

    constructor(private readonly events: EventQueue, private readonly settings: BackendServerSettings) {
        this.serverId = settings.serverId;
        this.dataCentre = settings.dataCentre;
        this.freeBytes = settings.memoryBytes;
    }

    get slotCount(): number {
        return this.settings.slotCount;
    }

    submit(attempt: Attempt): void {
        const { queue, admission } = this.settings;
        // The residency policy gets at most 16 arrivals of each model.
        const arrivals = this.arrivals.get(attempt.modelId) ?? [];
        this.arrivals.set(attempt.modelId, [...arrivals.slice(-15), this.events.nowMs]);
        const decision = admission.decide({
            serviceId: attempt.serviceId,
            nowMs: this.events.nowMs,
            deadlineAtMs: attempt.deadlineAtMs,
            expectedMs: attempt.expectedMs,
            waitMs: this.waitMs(attempt),
            serviceRequestCount: queue.size,
            totalRequestCount: queue.size,
            weight: 1,
            totalWeight: 1,
        });
        if (!decision.admitted) return attempt.onEnd("refusal");
        queue.push(attempt);
        this.ensureLoaded(attempt.modelId);
        this.startReadyAttempts();
    }

    cancel(attempt: Attempt): void {
        const running = this.running.get(attempt);
        if (running === undefined) {
            this.settings.queue.remove(attempt.entryId);
            return;
        }
        this.events.cancel(running.nextEvent);
        this.releaseSlot(attempt);
    }

    /** Starts a load unless the model is loaded or loading; returns false if not enough memory can be freed. */
    ensureLoaded(modelId: ModelId): boolean {
        if (this.models.has(modelId)) return true;
        const spec = this.settings.specs.get(modelId) as ModelSpec;
        const evicted = this.settings.residency.chooseEvictions(
            this.listResidencyModels(),
            this.freeBytes,
            spec.memoryBytes,
            this.events.nowMs,
        );
        if (evicted === undefined) return false;
        for (const other of evicted) this.unload(other);
        this.addModel(spec, false);
        this.settings.startLoad(this.serverId, modelId, () => this.finishLoad(modelId));
        this.settings.onModelsChanged(this);
        return true;
    }

    /** Adds a model as loaded before the run, if it fits into the free memory. */
    preload(modelId: ModelId): void {
        const spec = this.settings.specs.get(modelId) as ModelSpec;
        if (this.models.has(modelId) || spec.memoryBytes > this.freeBytes) return;
        this.addModel(spec, true);
    }

    unloadIdle(): void {
        const idle = this.settings.residency.chooseIdleModels(this.listResidencyModels(), this.events.nowMs);
        for (const modelId of idle) this.unload(modelId);
        if (idle.length > 0) this.settings.onModelsChanged(this);
    }

    /** Changes the speed of all running and later work; 1 is normal, 10 is ten times slower. */
    setSlowness(slowness: number): void {
        for (const [attempt, running] of this.running) {
            running.remainingMs -= (this.events.nowMs - running.sinceMs) / this.slowness;
            running.sinceMs = this.events.nowMs;
            this.events.cancel(running.nextEvent);
            running.nextEvent = this.events.schedule(
                running.remainingMs * slowness,
                () => this.advanceAttempt(attempt),
            );
        }
        this.slowness = slowness;
    }

    report(): ServerReport {
        const queued = this.settings.queue.entries();
        const modelIdsWith = (isReady: boolean) =>
            new Set([...this.models.values()].filter(model => model.isReady === isReady).map(m => m.spec.modelId));
        return {
            atMs: this.events.nowMs,
            reportedCount: queued.length + this.running.size,
            backlogMs: sumExpectedMs(queued) + sumExpectedMs([...this.running.keys()]),
            loaded: modelIdsWith(true),
            loading: modelIdsWith(false),
        };
    }

    /** Expected duration of the queued requests per model. */
    queuedMs(): ReadonlyMap<ModelId, number> {
        const queued = new Map<ModelId, number>();
        for (const { modelId, expectedMs } of this.settings.queue.entries()) {
            queued.set(modelId, (queued.get(modelId) ?? 0) + expectedMs);
        }
        return queued;
    }

    /** Whether the model is loaded or loading. */
    hasModel(modelId: ModelId): boolean {
        return this.models.has(modelId);
    }

    addIdleTimeOfAllModels(): void {
        for (const model of this.models.values()) this.addIdleTime(model);
    }

    private waitMs(attempt: Attempt): number {
        const model = this.models.get(attempt.modelId);
        const loadMs = model?.isReady === true ? 0 : this.settings.loadMs(this.serverId, attempt.modelId);
        const runningMs = sumExpectedMs([...this.running.keys()]);
        return loadMs + (this.settings.queue.waitMs?.(attempt, this.slotUsage(), runningMs) ?? 0);
    }

    private slotUsage(): SlotUsage {
        const runningLongCount =
            [...this.running.keys()].filter(other => this.settings.queue.isLong(other.expectedMs)).length;
        return { slotCount: this.slotCount, runningCount: this.running.size, runningLongCount };
    }

    private startReadyAttempts(): void {
        const { queue } = this.settings;
        for (;;) {
            const attempt = queue.dequeue(this.events.nowMs, this.slotUsage(), entry => this.isReady(entry));
            if (attempt === undefined) return;
            this.startAttempt(attempt);
        }
    }

    private isReady(attempt: Attempt): boolean {
        if (this.models.get(attempt.modelId)?.isReady === true) return true;
        attempt.hasWaitedForLoad = true;
        return false;
    }

    private startAttempt(attempt: Attempt): void {
        const model = this.models.get(attempt.modelId) as LoadedModel;
        this.addIdleTime(model);
        model.inUseCount += 1;
        model.idleSinceMs = undefined;
        attempt.startedAtMs = this.events.nowMs;
        const remainingMs = attempt.workMs * FIRST_TOKEN_SHARE;
        const nextEvent = this.events.schedule(remainingMs * this.slowness, () => this.advanceAttempt(attempt));
        const sinceMs = this.events.nowMs;
        this.running.set(attempt, { nextEvent, hasSentFirstToken: false, remainingMs, sinceMs });
    }

    private advanceAttempt(attempt: Attempt): void {
        const running = this.running.get(attempt) as RunningAttempt;
        if (!running.hasSentFirstToken) {
            running.hasSentFirstToken = true;
            running.sinceMs = this.events.nowMs;
            running.remainingMs = attempt.workMs * (1 - FIRST_TOKEN_SHARE);
            running.nextEvent = this.events.schedule(
                running.remainingMs * this.slowness,
                () => this.advanceAttempt(attempt),
            );
            return attempt.onFirstToken();
        }
        this.releaseSlot(attempt);
        attempt.onEnd("response");
    }

    private releaseSlot(attempt: Attempt): void {
        this.running.delete(attempt);
        const model = this.models.get(attempt.modelId) as LoadedModel;
        model.inUseCount -= 1;
        model.lastUsedAtMs = this.events.nowMs;
        if (model.inUseCount === 0) model.idleSinceMs = this.events.nowMs;
        for (const entry of this.settings.queue.entries()) {
            if (!this.models.has(entry.modelId)) this.ensureLoaded(entry.modelId);
        }
        this.startReadyAttempts();
    }

    private finishLoad(modelId: ModelId): void {
        const model = this.models.get(modelId) as LoadedModel;
        model.isReady = true;
        model.loadedAtMs = this.events.nowMs;
        model.idleSinceMs = this.events.nowMs;
        this.settings.onModelsChanged(this);
        this.startReadyAttempts();
    }

    private addModel(spec: ModelSpec, isReady: boolean): void {
        const nowMs = this.events.nowMs;
        this.freeBytes -= spec.memoryBytes;
        this.models.set(spec.modelId, {
            spec,
            isReady,
            loadedAtMs: nowMs,
            lastUsedAtMs: nowMs,
            inUseCount: 0,
            idleSinceMs: isReady ? nowMs : undefined,
        });
    }

    private unload(modelId: ModelId): void {
        const model = this.models.get(modelId) as LoadedModel;
        if (model.inUseCount > 0 || !model.isReady) throw new Error(`${modelId} is in use and can't be unloaded`);
        this.addIdleTime(model);
        this.models.delete(modelId);
        this.freeBytes += model.spec.memoryBytes;
    }

    private addIdleTime(model: LoadedModel): void {
        if (model.idleSinceMs === undefined) return;
        this.idleByteMs += model.spec.memoryBytes * (this.events.nowMs - model.idleSinceMs);
        model.idleSinceMs = this.events.nowMs;
    }

    private listResidencyModels(): ResidencyModel[] {
        const waiting = new Set(this.settings.queue.entries().map(entry => entry.modelId));
        // Models that are loading or have queued attempts count as in use, so that they are not unloaded.
        return [...this.models.values()].map(model => ({
            modelId: model.spec.modelId,
            memoryBytes: model.spec.memoryBytes,
            inUseCount: model.inUseCount + (model.isReady && !waiting.has(model.spec.modelId) ? 0 : 1),
            lastUsedAtMs: model.lastUsedAtMs,
            loadedAtMs: model.loadedAtMs,
            reloadMs: this.settings.loadMs(this.serverId, model.spec.modelId),
            arrivalsAtMs: this.arrivals.get(model.spec.modelId) ?? [],
        }));
    }
}

function sumExpectedMs(attempts: readonly Attempt[]): number {
    return attempts.reduce((total, attempt) => total + attempt.expectedMs, 0);
}
