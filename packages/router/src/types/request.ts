import type { ModelConfig, ResolvedRequestClass, ServiceConfig } from "@skylarkmill/config";
import type { AdapterId, ModelId, RequestId, ServerId, ServiceId } from "@skylarkmill/protocol";

/** The target of a request: a plain service, or a model with an optional adapter. */
export interface RequestTarget {
    readonly serviceId: ServiceId;
    readonly service: ServiceConfig;
    readonly modelId: ModelId | undefined;
    readonly model: ModelConfig | undefined;
    readonly adapterId: AdapterId | undefined;
}

/** A validated request with its resolved target, deadline and estimates. */
export interface RequestSpec {
    readonly requestId: RequestId;
    readonly target: RequestTarget;
    readonly requestClass: ResolvedRequestClass;
    readonly method: string;
    /** Path and query string that are sent to the backend server. */
    readonly path: string;
    /** End-to-end headers of the caller, as alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly isIdempotent: boolean;
    readonly idempotencyKey: string | undefined;
    readonly startedAtMs: number;
    readonly deadlineAtMs: number;
    /** Estimator group of the time to the first byte: service, model, class and whether the response is streamed. */
    readonly firstByteGroup: string;
    /** Expected time to the first byte of the response at an idle server. */
    readonly expectedFirstByteMs: number;
    /** High percentile of the time to the first byte at an idle server. */
    readonly highFirstByteMs: number;
    /** Recently observed time to the end of the response, compared with the deadline; 0 while unknown. */
    readonly recentTotalMs: number;
    /** Estimator group of the time to the end of the response. */
    readonly totalGroup: string;
    /** Start of the prompt, used for prefix affinity; empty for plain services. */
    readonly promptPrefix: string;
    /** Server to which a non-idempotent request with an idempotency key is sent first, since agents store keys too. */
    readonly preferredServerId: ServerId | undefined;
}

/** Status and headers of a backend server's response. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}
