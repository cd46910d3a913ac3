import type { EngineControl, EngineError } from "@skylarkmill/adapters";
import { type PermitClient, type PermitKind, URGENCY } from "@skylarkmill/coordination";
import { type AdapterId, type ModelId, RefusedError } from "@skylarkmill/protocol";
import { err, ok, type ResultAsync } from "neverthrow";
import type { EnginePort, IndexRead, OrderResult } from "../types/engine-port.ts";
import type { FencingTokenSource } from "./fencing-token-source.ts";

export interface EngineOrderSenderOptions {
    readonly control: EngineControl;
    readonly permits: PermitClient;
    readonly fencing: FencingTokenSource;
    /** Checked after the permit was granted, since the load may not be needed any more. */
    readonly isStillNeeded: (modelId: ModelId, kind: "load" | "adapter", urgency: number) => boolean;
    readonly orderTimeoutMs: number;
    readonly onSent: (orderId: number) => void;
    readonly onResult: (orderId: number, result: OrderResult) => void;
    readonly onIndex: (read: IndexRead) => void;
}

interface PermittedOrder {
    readonly orderId: number;
    readonly kind: PermitKind;
    readonly urgency: number;
    readonly isStillNeeded: () => boolean;
    readonly timeoutMs: number;
    readonly send: (fencingToken: number, signal: AbortSignal) => ResultAsync<void, EngineError>;
}

/** Timeout of an adapter load, which usually takes milliseconds. */
const ADAPTER_TIMEOUT_MS = 10_000;
/** Timeout of the unload order that sends the fencing token to the engine at start-up. */
const SEND_TOKEN_TIMEOUT_MS = 2000;

/** Sends orders to the engine, loads only with a permit, and runs at most one read of the index at a time. */
export class EngineOrderSender implements EnginePort {
    private readonly stopController = new AbortController();
    private readonly pendingControllers = new Map<number, AbortController>();
    private isReadingIndex = false;
    private queuedReadSequence: number | undefined;

    constructor(private readonly options: EngineOrderSenderOptions) {}

    /** Cancels waits for permits and responses. The engine still executes the orders that it has received. */
    stop(): void {
        this.stopController.abort();
    }

    load(orderId: number, modelId: ModelId, version: string, memoryBytes: number, urgency: number): void {
        const { control, isStillNeeded } = this.options;
        void this.sendWithPermit({
            orderId,
            kind: "model_load",
            urgency,
            isStillNeeded: () => isStillNeeded(modelId, "load", urgency),
            timeoutMs: this.options.orderTimeoutMs,
            send: (fencingToken, signal) => control.load({ modelId, version, memoryBytes, fencingToken }, signal),
        });
    }

    loadAdapter(orderId: number, modelId: ModelId, adapterId: AdapterId): void {
        const { control, isStillNeeded } = this.options;
        const urgency = URGENCY.waitingRequest;
        void this.sendWithPermit({
            orderId,
            kind: "adapter_load",
            urgency,
            isStillNeeded: () => isStillNeeded(modelId, "adapter", urgency),
            timeoutMs: ADAPTER_TIMEOUT_MS,
            send: (fencingToken, signal) => control.loadAdapter({ modelId, adapterId, fencingToken }, signal),
        });
    }

    unload(orderId: number, modelId: ModelId): void {
        const { control, fencing, orderTimeoutMs } = this.options;
        const order = { modelId, fencingToken: fencing.token };
        void this.sendAndReport(orderId, orderTimeoutMs, signal => control.unload(order, signal));
    }

    sendFencingToken(orderId: number, modelId: ModelId): void {
        this.unload(orderId, modelId);
    }

    /**
     * Sends the engine the current fencing token in an unload order for an absent model and returns the result.
     * Also succeeds when the engine refuses the order, since it has then received the token.
     */
    sendFencingTokenAndWait(modelId: ModelId): ResultAsync<void, EngineError> {
        const { control, fencing } = this.options;
        const signal = AbortSignal.any([this.stopController.signal, AbortSignal.timeout(SEND_TOKEN_TIMEOUT_MS)]);
        return control.unload({ modelId, fencingToken: fencing.token }, signal)
            .orElse(error => (error instanceof RefusedError ? ok(undefined) : err(error)));
    }

    abandonOrder(orderId: number): void {
        this.pendingControllers.get(orderId)?.abort();
    }

    incrementToken(): void {
        this.options.fencing.incrementLocally();
    }

    readIndex(sequence: number): void {
        if (this.isReadingIndex) {
            this.queuedReadSequence = sequence;
            return;
        }
        this.isReadingIndex = true;
        void this.options.control.readIndex().then(result => {
            this.isReadingIndex = false;
            this.options.onIndex({ sequence, result });
            const queued = this.queuedReadSequence;
            this.queuedReadSequence = undefined;
            if (queued !== undefined && !this.stopController.signal.aborted) this.readIndex(queued);
        });
    }

    private async sendWithPermit(order: PermittedOrder): Promise<void> {
        const { permits, onResult, fencing } = this.options;
        const permit = await permits.acquire(order.kind, {
            urgency: order.urgency,
            signal: this.stopController.signal,
        });
        try {
            if (permit === undefined || this.stopController.signal.aborted || !order.isStillNeeded()) {
                onResult(order.orderId, err({ kind: "not_sent" }));
                return;
            }
            this.options.onSent(order.orderId);
            await this.sendAndReport(order.orderId, order.timeoutMs, signal => order.send(fencing.token, signal));
        }
        finally {
            permit?.release();
        }
    }

    private async sendAndReport(
        orderId: number,
        timeoutMs: number,
        send: (signal: AbortSignal) => ResultAsync<void, EngineError>,
    ): Promise<void> {
        const controller = new AbortController();
        this.pendingControllers.set(orderId, controller);
        const result = await send(
            AbortSignal.any([this.stopController.signal, controller.signal, AbortSignal.timeout(timeoutMs)]),
        );
        this.pendingControllers.delete(orderId);
        this.options.onResult(orderId, result.isOk() ? ok(undefined) : err({ kind: "engine", error: result.error }));
    }
}
