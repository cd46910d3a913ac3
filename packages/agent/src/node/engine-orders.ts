import type { PermitClient, PermitKind } from "@skylarkmill/coordination";
import { URGENCY } from "@skylarkmill/coordination";
import type { EngineControl, EngineError } from "@skylarkmill/platform";
import type { AdapterId, ModelId } from "@skylarkmill/protocol";
import { err, ok, type ResultAsync } from "neverthrow";
import type { EnginePort, IndexRead, OrderResult } from "../types/engine-port.ts";

export interface EngineOrdersOptions {
    readonly control: EngineControl;
    readonly permits: PermitClient;
    readonly fencingToken: () => number;
    /** Checked again after the wait for a permit. */
    readonly mayLoad: (modelId: ModelId) => boolean;
    readonly orderTimeoutMs: number;
    readonly onOrder: (orderId: number, result: OrderResult) => void;
    readonly onIndex: (read: IndexRead) => void;
}

/** Sends orders under permits; at most one read of the index is in progress. */
export class EngineOrders implements EnginePort {
    private readonly abort = new AbortController();
    private readingIndex = false;
    private nextStamp: number | undefined;

    constructor(private readonly options: EngineOrdersOptions) {}

    /** Gives up waiting for permits and answers; the engine goes on with what it was ordered. */
    stop(): void {
        this.abort.abort();
    }

    load(orderId: number, modelId: ModelId, version: string, memoryBytes: number, urgency: number): void {
        const order = { modelId, version, memoryBytes };
        void this.underPermit(
            orderId,
            "model_load",
            urgency,
            modelId,
            signal => this.options.control.load({ ...order, fencingToken: this.options.fencingToken() }, signal),
        );
    }

    loadAdapter(orderId: number, modelId: ModelId, adapterId: AdapterId): void {
        void this.underPermit(
            orderId,
            "adapter_load",
            URGENCY.waitingRequest,
            modelId,
            signal =>
                this.options.control.loadAdapter(
                    { modelId, adapterId, fencingToken: this.options.fencingToken() },
                    signal,
                ),
        );
    }

    unload(orderId: number, modelId: ModelId): void {
        const order = { modelId, fencingToken: this.options.fencingToken() };
        void this.report(orderId, this.options.control.unload(order, this.signal()));
    }

    readIndex(stamp: number): void {
        if (this.readingIndex) {
            this.nextStamp = stamp;
            return;
        }
        this.readingIndex = true;
        void this.options.control.index().then(result => {
            this.readingIndex = false;
            this.options.onIndex({ stamp, result });
            const next = this.nextStamp;
            this.nextStamp = undefined;
            if (next !== undefined && !this.abort.signal.aborted) this.readIndex(next);
        });
    }

    private async underPermit(
        orderId: number,
        kind: PermitKind,
        urgency: number,
        modelId: ModelId,
        send: (signal: AbortSignal) => ResultAsync<void, EngineError>,
    ): Promise<void> {
        const permit = await this.options.permits.acquire(kind, { urgency, signal: this.abort.signal });
        try {
            if (permit === undefined || this.abort.signal.aborted || !this.options.mayLoad(modelId)) {
                this.options.onOrder(orderId, err({ kind: "not_sent" }));
                return;
            }
            await this.report(orderId, send(this.signal()));
        }
        finally {
            permit?.release();
        }
    }

    private async report(orderId: number, answer: ResultAsync<void, EngineError>): Promise<void> {
        const result = await answer;
        this.options.onOrder(orderId, result.isOk() ? ok(undefined) : err({ kind: "engine", error: result.error }));
    }

    private signal(): AbortSignal {
        return AbortSignal.any([this.abort.signal, AbortSignal.timeout(this.options.orderTimeoutMs)]);
    }
}
