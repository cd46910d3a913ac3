import type { ModelConfig, ResolvedRequestClass, ServiceConfig } from "@skylarkmill/config";
import type { AdapterId, ModelId, RequestId, ServerId, ServiceId } from "@skylarkmill/protocol";

/** What a request addresses: a plain service, or a model with an optional adapter. */
export interface Target {
    readonly serviceId: ServiceId;
    readonly service: ServiceConfig;
    readonly modelId: ModelId | undefined;
    readonly model: ModelConfig | undefined;
    readonly adapterId: AdapterId | undefined;
}

/** A checked request. */
export interface RequestSpec {
    readonly requestId: RequestId;
    readonly target: Target;
    readonly requestClass: ResolvedRequestClass;
    readonly method: string;
    /** Path with query, as the backend server sees it. */
    readonly path: string;
    /** End-to-end headers of the caller, as name and value in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly idempotent: boolean;
    readonly idempotencyKey: string | undefined;
    readonly startedAtMs: number;
    readonly deadlineAtMs: number;
    /** Estimator group: service, model, class and whether the answer is streamed. */
    readonly group: string;
    /** Expected time to the first byte of the answer at a server that is not busy. */
    readonly expectedMs: number;
    readonly highMs: number;
    /** Learned time to the end of the answer, to hold against the deadline; 0 while it is not known. */
    readonly learnedMs: number;
    /** Estimator group of the time to the end of the answer. */
    readonly totalGroup: string;
    /** Start of the prompt, for prefix affinity; empty for plain services. */
    readonly prompt: string;
    /** Server to prefer while it is available. */
    readonly preferredServerId: ServerId | undefined;
}

/** Head of a backend server's answer. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}
