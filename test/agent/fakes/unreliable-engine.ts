import type { EngineError, EngineIndex, EngineModelState } from "@skylarkmill/adapters";
import {
    type AdapterId,
    type ModelId,
    OutcomeUnknownError,
    RefusedError,
    UnavailableError,
} from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";

const CONTEXT = { step: "fake", peer: "engine" };
const TOKENS_PER_START = 1_000_000;

interface SimulatedOrder {
    readonly kind: "load" | "unload" | "adapter";
    readonly agentStart: number;
    readonly orderId: number;
    readonly modelId: ModelId;
    readonly memoryBytes: number;
    readonly token: number;
    state: "sent" | "running" | "completed";
    result: Result<void, EngineError>;
    /** When the agent stopped waiting for the result. */
    abandonedAtMs: number | undefined;
}

interface SimulatedRead {
    readonly agentStart: number;
    readonly sequence: number;
    index: EngineIndex | undefined;
}

interface LoadedModel {
    state: EngineModelState;
    readonly memoryBytes: number;
    readonly adapterIds: AdapterId[];
}

/** Receives the messages from the engine to the agent. */
export interface EngineMessageReceiver {
    orderSent(orderId: number): void;
    orderResult(orderId: number, result: Result<void, EngineError>): void;
    indexRead(sequence: number, result: Result<EngineIndex, EngineError>): void;
}

/** Simulates an engine and unreliable connections to it, on which messages are delivered in any order. */
export class UnreliableEngine {
    readonly models = new Map<ModelId, LoadedModel>();
    readonly violations: string[] = [];
    private orders: SimulatedOrder[] = [];
    private readonly abandoned: SimulatedOrder[] = [];
    private reads: SimulatedRead[] = [];
    private newestToken = 0;
    private tokenCount = 0;
    private agentStart = 1;

    constructor(
        private readonly sizeBytes: number,
        private readonly checksFencing: boolean,
        private readonly settleMs: number,
        private receiver: EngineMessageReceiver,
    ) {}

    get usedBytes(): number {
        return [...this.models.values()].reduce((sum, model) => sum + model.memoryBytes, 0);
    }

    // Methods that the agent calls.
    load(orderId: number, modelId: ModelId, _version: string, memoryBytes: number): void {
        this.addOrder("load", orderId, modelId, memoryBytes);
        this.receiver.orderSent(orderId);
    }
    unload(orderId: number, modelId: ModelId): void {
        this.addOrder("unload", orderId, modelId, 0);
    }
    sendFencingToken(orderId: number, modelId: ModelId): void {
        this.addOrder("unload", orderId, modelId, 0);
    }
    loadAdapter(orderId: number, modelId: ModelId): void {
        this.addOrder("adapter", orderId, modelId, 0);
    }
    abandonOrder(orderId: number): void {
        const order = this.orders.find(candidate =>
            candidate.orderId === orderId && candidate.agentStart === this.agentStart
        );
        if (order !== undefined && order.abandonedAtMs === undefined) this.abandoned.push(order);
    }
    incrementToken(): void {
        this.tokenCount += 1;
    }
    readIndex(sequence: number): void {
        this.reads.push({ agentStart: this.agentStart, sequence, index: undefined });
    }

    // Methods that the test calls; `pick` selects one of the messages or models to which the step applies.
    deliverOrder(pick: number, nowMs: number): void {
        const order = choose(this.orders.filter(candidate => candidate.state === "sent"), pick);
        if (order === undefined) return;
        const late = order.abandonedAtMs !== undefined && nowMs - order.abandonedAtMs >= this.settleMs;
        // Without fencing, the agent assumes that no order arrives later than `settleMs` after it was abandoned.
        if (!this.checksFencing && late) this.removeOrder(order);
        else this.executeOrder(order);
    }

    completeOperation(pick: number, fails: boolean): void {
        const busy = [...this.models].filter(([, model]) => model.state === "loading" || model.state === "unloading");
        const found = choose(busy, pick);
        if (found === undefined) return;
        const [modelId, model] = found;
        if (model.state === "unloading" || fails) this.models.delete(modelId);
        else model.state = "ready";
        const result = model.state !== "unloading" && fails
            ? err(new RefusedError("bad checkpoint", CONTEXT))
            : ok(undefined);
        for (const order of this.orders) {
            if (order.state === "running" && order.modelId === modelId) this.finish(order, result);
        }
    }

    deliverResult(pick: number): void {
        const order = choose(this.orders.filter(candidate => candidate.state === "completed"), pick);
        if (order !== undefined) this.returnResult(order, order.result);
    }

    /** Breaks an order's connection. The order may still arrive at the engine. */
    loseConnection(pick: number, nowMs: number): void {
        const order = choose(this.orders.filter(candidate => candidate.abandonedAtMs === undefined), pick);
        if (order !== undefined) this.breakConnection(order, nowMs);
    }

    private breakConnection(order: SimulatedOrder, nowMs: number): void {
        if (order.abandonedAtMs !== undefined) return;
        order.abandonedAtMs = nowMs;
        const result = err(new OutcomeUnknownError("lost", CONTEXT));
        if (order.agentStart === this.agentStart) this.receiver.orderResult(order.orderId, result);
        if (order.state === "completed") this.removeOrder(order);
    }

    refuseConnection(pick: number): void {
        const order = choose(this.orders.filter(o => o.state === "sent" && o.abandonedAtMs === undefined), pick);
        if (order !== undefined) this.returnResult(order, err(new UnavailableError("refused", CONTEXT)));
    }

    executeRead(pick: number): void {
        const read = choose(this.reads.filter(candidate => candidate.index === undefined), pick);
        if (read !== undefined) read.index = this.currentIndex();
    }

    deliverReadResult(pick: number): void {
        const read = choose(this.reads.filter(candidate => candidate.index !== undefined), pick);
        if (read === undefined) return;
        this.reads = this.reads.filter(other => other !== read);
        if (read.agentStart === this.agentStart) this.receiver.indexRead(read.sequence, ok(read.index!));
    }

    /** Ends the connections of the orders that the agent has abandoned since the last call. */
    endAbandoned(nowMs: number): void {
        for (const order of this.abandoned.splice(0)) this.breakConnection(order, nowMs);
    }

    restartEngine(): void {
        this.models.clear();
        this.newestToken = 0;
        for (const order of [...this.orders]) this.returnResult(order, err(new OutcomeUnknownError("reset", CONTEXT)));
    }

    /** Replaces the agent by a new one whose start-up has made late orders of the old one ineffective. */
    restartAgent(receiver: EngineMessageReceiver, nowMs: number): void {
        this.agentStart += 1;
        this.tokenCount = 0;
        this.receiver = receiver;
        for (const order of this.orders) order.abandonedAtMs ??= nowMs;
        if (this.checksFencing) this.newestToken = Math.max(this.newestToken, this.token);
        else this.orders = this.orders.filter(order => order.state !== "sent");
    }

    currentIndex(): EngineIndex {
        const models = [...this.models].map(([modelId, model]) => ({
            modelId,
            version: "1",
            locality: "memory" as const,
            state: model.state,
            memoryBytes: model.memoryBytes,
            adapterIds: [...model.adapterIds],
        }));
        return { memorySizeBytes: this.sizeBytes, slotCount: 8, models };
    }

    private get token(): number {
        return this.agentStart * TOKENS_PER_START + this.tokenCount;
    }

    private addOrder(kind: SimulatedOrder["kind"], orderId: number, modelId: ModelId, memoryBytes: number): void {
        const result = ok(undefined);
        const { agentStart, token } = this;
        this.orders.push({
            kind,
            agentStart,
            orderId,
            modelId,
            memoryBytes,
            token,
            state: "sent",
            result,
            abandonedAtMs: undefined,
        });
    }

    private executeOrder(order: SimulatedOrder): void {
        if (order.token < this.newestToken && this.checksFencing) {
            this.finish(order, err(new RefusedError("old token", CONTEXT)));
            return;
        }
        this.newestToken = Math.max(this.newestToken, order.token);
        const model = this.models.get(order.modelId);
        if (order.kind === "load") this.executeLoad(order, model);
        else if (order.kind === "unload") this.executeUnload(order, model);
        else this.finish(order, model?.state === "ready" ? ok(undefined) : err(new RefusedError("absent", CONTEXT)));
    }

    private executeLoad(order: SimulatedOrder, model: LoadedModel | undefined): void {
        if (model?.state === "unloading") this.finish(order, err(new RefusedError("unloading", CONTEXT)));
        else if (model?.state === "ready") this.finish(order, ok(undefined));
        else {
            order.state = "running";
            if (model !== undefined) return;
            this.models.set(order.modelId, { state: "loading", memoryBytes: order.memoryBytes, adapterIds: [] });
            if (this.usedBytes > this.sizeBytes) this.violations.push(`overcommitted by ${order.modelId}`);
        }
    }

    private executeUnload(order: SimulatedOrder, model: LoadedModel | undefined): void {
        if (model === undefined) this.finish(order, ok(undefined));
        else if (model.state === "loading") this.finish(order, err(new RefusedError("loading", CONTEXT)));
        else {
            model.state = "unloading";
            order.state = "running";
        }
    }

    private finish(order: SimulatedOrder, result: Result<void, EngineError>): void {
        order.state = "completed";
        order.result = result;
        if (order.abandonedAtMs !== undefined) this.removeOrder(order);
    }

    private returnResult(order: SimulatedOrder, result: Result<void, EngineError>): void {
        this.removeOrder(order);
        const isAwaited = order.agentStart === this.agentStart && order.abandonedAtMs === undefined;
        if (isAwaited) this.receiver.orderResult(order.orderId, result);
    }

    private removeOrder(order: SimulatedOrder): void {
        this.orders = this.orders.filter(other => other !== order);
    }
}

function choose<T>(candidates: readonly T[], pick: number): T | undefined {
    return candidates[pick % Math.max(1, candidates.length)];
}
