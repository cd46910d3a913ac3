import type { EngineError, EngineIndex } from "@skylarkmill/adapters";
import type { AdapterId, ModelId } from "@skylarkmill/protocol";
import type { Result } from "neverthrow";

/** Why an order failed. `not_sent` means that the order did not reach the engine. */
export type OrderFailure =
    | { readonly kind: "not_sent"; }
    | { readonly kind: "engine"; readonly error: EngineError; };

export type OrderResult = Result<void, OrderFailure>;

/** Sends orders to the engine. Each result is returned later as a message with the order's id. */
export interface EnginePort {
    load(orderId: number, modelId: ModelId, version: string, memoryBytes: number, urgency: number): void;
    unload(orderId: number, modelId: ModelId): void;
    loadAdapter(orderId: number, modelId: ModelId, adapterId: AdapterId): void;
    /** Sends the current fencing token to the engine in an unload order for a model that is not loaded. */
    sendFencingToken(orderId: number, modelId: ModelId): void;
    /** Stops waiting for an order. Its result is then an unknown outcome; the engine may still execute the order. */
    abandonOrder(orderId: number): void;
    /** Increments the fencing token of all later orders. */
    incrementToken(): void;
    /** Reads the engine's index. The result is returned as a message with the given sequence number or a later one. */
    readIndex(sequence: number): void;
}

/** The result of one read of the engine's index. */
export interface IndexRead {
    /**
     * Sequence number assigned when the read started. Reads and changes of replicas share one sequence, so that a read
     * that started before a replica's last change can be ignored.
     */
    readonly sequence: number;
    readonly result: Result<EngineIndex, EngineError>;
}
