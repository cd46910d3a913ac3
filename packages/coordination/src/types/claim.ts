import type { AttemptId, OutcomeUnknownError, ProcessId, RequestId, UnavailableError } from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";

/** Stored record of which process handles the request with an idempotency key. */
export interface ClaimRecord {
    readonly requestId: RequestId;
    readonly attemptId: AttemptId;
    readonly processId: ProcessId;
    readonly claimedAtMs: number;
    /** SHA-256 of method, path and body; a repeat with another fingerprint is a conflict. */
    readonly fingerprint: string;
    /** `undefined` until the request has ended. */
    readonly outcome: ClaimOutcome | undefined;
}

/** Result of a claimed request, which is replayed to repeats with the same key. */
export interface ClaimOutcome {
    /**
     * `finished`: the response is known. `not_run`: the request certainly did not run, so the key may be claimed
     * again. `unknown`: the request may have run.
     */
    readonly kind: "finished" | "not_run" | "unknown";
    readonly status: number;
    readonly contentType: string;
    /** Base64 of the body; `undefined` when it is longer than 64 KiB. */
    readonly bodyBase64: string | undefined;
}

/** `claimed`: the caller may dispatch the request. `existing`: the key was claimed before, with this record. */
export type ClaimResult =
    | { readonly kind: "claimed"; }
    | { readonly kind: "existing"; readonly record: ClaimRecord; };

export interface ClaimInput {
    readonly serviceId: string;
    readonly idempotencyKey: string;
    readonly record: Omit<ClaimRecord, "outcome" | "processId" | "claimedAtMs">;
}

/** Writes claims in batches, so that the transaction rate does not grow with the request rate. */
export interface ClaimWriter {
    /**
     * Claims an idempotency key before its request is dispatched. After a lost response the write is repeated; a claim
     * that was already written is recognised by its attempt id.
     * On `UnavailableError` and `OutcomeUnknownError` the request must not be dispatched.
     */
    claim(input: ClaimInput): ResultAsync<ClaimResult, UnavailableError | OutcomeUnknownError>;
    /** Stores the outcome in the background; retries for up to 60 s. */
    complete(input: ClaimInput, outcome: ClaimOutcome): void;
    /** Stops after the pending writes, or after 3 s; writes left over are dropped. */
    stop(): Promise<void>;
}
