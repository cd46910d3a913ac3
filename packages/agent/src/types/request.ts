import type { QueueEntry } from "@skylarkmill/policy";
import type { AdapterId, AttemptId, ModelId, Refusal, RequestId, ServiceId } from "@skylarkmill/protocol";

/** Metadata of a request, parsed from the router's headers. */
export interface RequestHead {
    readonly requestId: RequestId;
    readonly attemptId: AttemptId;
    readonly serviceId: ServiceId;
    readonly modelId: ModelId | undefined;
    readonly adapterId: AdapterId | undefined;
    readonly isNonIdempotent: boolean;
    readonly idempotencyKey: string | undefined;
    readonly requestClass: string | undefined;
    readonly deadlineAtMs: number;
}

/** The backend task's decision about a request. */
export type DispatchDecision =
    | { readonly kind: "start"; }
    | { readonly kind: "refuse"; readonly refusal: Refusal; };

/** A queued or running request. Its `entryId` is the attempt id. */
export interface ScheduledRequest extends QueueEntry {
    readonly head: RequestHead;
    /** Receives the backend task's decision; not called after the request was cancelled. */
    onDecision(decision: DispatchDecision): void;
}

/** The outcome of a dispatched request. */
export interface AttemptOutcome {
    /** Time until the backend server's response head, if one arrived. */
    readonly firstByteMs: number | undefined;
    readonly durationMs: number;
    readonly result: "answered" | "not_run" | "unknown" | "cancelled";
    /** Time for which the backend server wants no requests, if it stated one. */
    readonly holdMs: number | undefined;
}
