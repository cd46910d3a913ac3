import {
    type AdapterId,
    type ModelId,
    OutcomeUnknownError,
    ProtocolError,
    RefusedError,
    toId,
} from "@skylarkmill/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Dispatcher, Pool } from "undici";
import { z } from "zod";
import { isWholeResponse, type JsonResponse, parseJson, sendJsonRequest } from "../runtime/json-request.ts";
import { createSingleUsePool } from "../runtime/single-use-pool.ts";
import { trackSend } from "../runtime/tracked-dispatch.ts";
import type {
    AdapterOrder,
    EngineControl,
    EngineError,
    EngineIndex,
    EngineModel,
    EngineModelState,
    LoadOrder,
    UnloadOrder,
} from "../types/engine.ts";

export interface TritonEngineControlOptions {
    /** Base URL of the engine, such as `http://127.0.0.1:9000`. */
    readonly baseUrl: string;
    /** Timeout of an index read. @default 2000 */
    readonly timeoutMs?: number;
    /** Timeout of an order; the engine responds only after it has completed the order. @default 600000 */
    readonly orderTimeoutMs?: number;
}

export interface TritonEngineControl extends EngineControl {
    close(): Promise<void>;
}

const MAX_CONNECTIONS = 64;
const MAX_INDEX_BYTES = 4 * 1024 * 1024;
const MAX_ORDER_RESPONSE_BYTES = 64 * 1024;
/** Maximum number of models in the index, and of adapters of one model. */
const MAX_LIST_LENGTH = 10_000;

const MODEL_STATES: Readonly<Record<string, EngineModelState>> = {
    READY: "ready",
    LOADING: "loading",
    UNLOADING: "unloading",
    UNAVAILABLE: "absent",
    FAILED: "failed",
};

const byteCount = z.number().int().nonnegative();

const indexSchema = z.array(z.object({
    name: z.string().min(1).max(200),
    version: z.string().max(200).default("1"),
    state: z.enum(["READY", "LOADING", "UNLOADING", "UNAVAILABLE", "FAILED"]).default("UNAVAILABLE"),
    parameters: z.object({
        memory_bytes: byteCount.default(0),
        locality: z.enum(["memory", "disk", "remote"]).default("remote"),
        adapters: z.array(z.string().max(200)).max(MAX_LIST_LENGTH).default([]),
    }).prefault({}),
})).max(MAX_LIST_LENGTH);

const metadataSchema = z.object({
    parameters: z.object({ memory_size_bytes: byteCount, slot_count: z.number().int().positive() }),
});

function toEngineModel(model: z.output<typeof indexSchema>[number]): EngineModel {
    return {
        modelId: toId<ModelId>(model.name),
        version: model.version,
        state: MODEL_STATES[model.state] ?? "absent",
        memoryBytes: model.parameters.memory_bytes,
        locality: model.parameters.locality,
        adapterIds: model.parameters.adapters.map(adapter => toId<AdapterId>(adapter)),
    };
}

class TritonClient implements TritonEngineControl {
    private readonly peer: string;
    private readonly timeoutMs: number;
    private readonly orderTimeoutMs: number;
    private readonly pool: Pool;
    private readonly dispatcher: Dispatcher;

    constructor(options: TritonEngineControlOptions) {
        const url = new URL(options.baseUrl);
        this.peer = url.host;
        this.timeoutMs = options.timeoutMs ?? 2000;
        this.orderTimeoutMs = options.orderTimeoutMs ?? 600_000;
        this.pool = createSingleUsePool(url.origin, MAX_CONNECTIONS);
        this.dispatcher = this.pool.compose(trackSend);
    }

    readIndex(): ResultAsync<EngineIndex, EngineError> {
        return new ResultAsync(this.fetchIndex());
    }

    load(order: LoadOrder, signal?: AbortSignal): ResultAsync<void, EngineError> {
        const parameters = {
            version: order.version,
            memory_bytes: order.memoryBytes,
            fencing_token: order.fencingToken,
        };
        return this.sendOrder("engine.load", order.modelId, "load", parameters, signal);
    }

    unload(order: UnloadOrder, signal?: AbortSignal): ResultAsync<void, EngineError> {
        return this.sendOrder(
            "engine.unload",
            order.modelId,
            "unload",
            { fencing_token: order.fencingToken },
            signal,
        );
    }

    loadAdapter(order: AdapterOrder, signal?: AbortSignal): ResultAsync<void, EngineError> {
        const parameters = { adapter: order.adapterId, fencing_token: order.fencingToken };
        return this.sendOrder("engine.load_adapter", order.modelId, "load", parameters, signal);
    }

    close(): Promise<void> {
        return this.pool.destroy();
    }

    private sendOrder(
        step: string,
        modelId: ModelId,
        operation: "load" | "unload",
        parameters: object,
        signal: AbortSignal | undefined,
    ): ResultAsync<void, EngineError> {
        const path = `/v2/repository/models/${encodeURIComponent(modelId)}/${operation}`;
        return new ResultAsync(this.postOrder(step, path, { parameters }, signal));
    }

    private async postOrder(
        step: string,
        path: string,
        body: object,
        signal: AbortSignal | undefined,
    ): Promise<Result<void, EngineError>> {
        const request = { step, path, body, signal, method: "POST", isWrite: true } as const;
        const response = await sendJsonRequest(this.dispatcher, this.peer, {
            ...request,
            timeoutMs: this.orderTimeoutMs,
            maxBodyBytes: MAX_ORDER_RESPONSE_BYTES,
        });
        if (response.isErr()) return err(response.error);
        return this.toOrderResult(step, response.value);
    }

    private toOrderResult(step: string, response: JsonResponse): Result<void, EngineError> {
        const context = { step, peer: this.peer };
        if (response.status === 200) {
            if (isWholeResponse(response)) return ok(undefined);
            return err(new OutcomeUnknownError("the engine's response has no length and may be cut", context));
        }
        const message = `the engine returned status ${response.status}: ${response.text.slice(0, 200)}`;
        if (response.status < 500) return err(new RefusedError(message, context));
        return err(new OutcomeUnknownError(message, context));
    }

    private async fetchIndex(): Promise<Result<EngineIndex, EngineError>> {
        const [metadata, index] = await Promise.all([
            this.readResource("GET", "/v2", metadataSchema),
            this.readResource("POST", "/v2/repository/index", indexSchema),
        ]);
        if (metadata.isErr()) return err(metadata.error);
        if (index.isErr()) return err(index.error);
        const { memory_size_bytes: memorySizeBytes, slot_count: slotCount } = metadata.value.parameters;
        return ok({ memorySizeBytes, slotCount, models: index.value.map(toEngineModel) });
    }

    private async readResource<Schema extends z.ZodType>(
        method: "GET" | "POST",
        path: string,
        schema: Schema,
    ): Promise<Result<z.output<Schema>, EngineError>> {
        const context = { step: "engine.index", peer: this.peer };
        const response = await sendJsonRequest(this.dispatcher, this.peer, {
            ...context,
            method,
            path,
            isWrite: false,
            timeoutMs: this.timeoutMs,
            maxBodyBytes: MAX_INDEX_BYTES,
            ...(method === "POST" ? { body: {} } : {}),
        });
        if (response.isErr()) return err(response.error);
        if (response.value.status !== 200) {
            return err(new ProtocolError(`${path} returned status ${response.value.status}`, context));
        }
        return parseJson(schema, response.value.text, context);
    }
}

/**
 * Creates a client that sends orders to a model engine through the KServe model-repository extension.
 *
 * The response to `GET /v2` contains `parameters: {memory_size_bytes, slot_count}`, and each entry of the index
 * contains `parameters: {memory_bytes, locality, adapters}`. An order fails with `UnavailableError` if no byte of it
 * was sent, with `RefusedError` on an error status below 500, and with `OutcomeUnknownError` on a higher status or if
 * it was sent but no complete response arrived.
 *
 * @example
 * const control = createTritonEngineControl({ baseUrl: "http://127.0.0.1:9000" });
 * const index = await control.readIndex();
 */
export function createTritonEngineControl(options: TritonEngineControlOptions): TritonEngineControl {
    return new TritonClient(options);
}
