import type { QueueEntry } from "@skylarkmill/policy";
import type { AdapterId, AttemptId, ModelId, Refusal, RequestId, ServiceId } from "@skylarkmill/protocol";

/** Metadata of a request, parsed from the router's headers. */
export interface RequestHead {
    readonly requestId: RequestId;
    readonly attemptId: AttemptId;
    readonly serviceId: ServiceId;
    readonly modelId: ModelId | undefined;
    readonly adapterId: AdapterId | undefined;
    readonly once: boolean;
    readonly idempotencyKey: string | undefined;
    readonly requestClass: string | undefined;
    readonly deadlineAtMs: number;
}

/** The backend task's decision about a request. */
export type DispatchDecision =
    | { readonly kind: "start"; }
    | { readonly kind: "refuse"; readonly refusal: Refusal; };

/** A queued or running request. `requestId` holds the attempt id, which is unique among these requests. */
export interface WaitingRequest extends QueueEntry {
    readonly head: RequestHead;
    decide(decision: DispatchDecision): void;
}

/** The outcome of a dispatched request. */
export interface AttemptOutcome {
    /** Time until the backend server's response head, if one arrived. */
    readonly firstByteMs: number | undefined;
    readonly durationMs: number;
    readonly result: "answered" | "not_run" | "unknown" | "cancelled";
}
