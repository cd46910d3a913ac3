import type { QueueEntry } from "@skylarkmill/policy";
import type { AdapterId, AttemptId, ModelId, Refusal, RequestId, ServiceId } from "@skylarkmill/protocol";

/** The head of a request as the router's headers give it. */
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

/** What the backend task decided about a request. */
export type Decision =
    | { readonly kind: "start"; }
    | { readonly kind: "refuse"; readonly refusal: Refusal; };

/** A request at the backend task. `requestId` holds the attempt id, which is unique among the waiting ones. */
export interface WaitingRequest extends QueueEntry {
    readonly head: RequestHead;
    decide(decision: Decision): void;
}

/** How a dispatched request ended. */
export interface RunOutcome {
    /** Time until the backend server's response head, if one arrived. */
    readonly firstByteMs: number | undefined;
    readonly durationMs: number;
    readonly result: "answered" | "not_run" | "unknown" | "cancelled";
}
