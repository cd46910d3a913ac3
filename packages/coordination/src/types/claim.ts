import type { AttemptId, OutcomeUnknownError, ProcessId, RequestId, UnavailableError } from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";

/** Durable record that a keyed request has been taken on by one process. */
export interface ClaimRecord {
    readonly requestId: RequestId;
    readonly attemptId: AttemptId;
    readonly processId: ProcessId;
    readonly claimedAtMs: number;
    /** SHA-256 of method, path and body; a repeat with another body is a conflict. */
    readonly fingerprint: string;
    readonly outcome: ClaimOutcome | undefined;
}

/** `finished`: the answer is known. `not_run`: the request certainly did not run, so the key may be claimed again. */
export interface ClaimOutcome {
    readonly kind: "finished" | "not_run" | "unknown";
    readonly status: number;
    readonly contentType: string;
    /** Base64 of the body; `undefined` when it is longer than 64 KiB. */
    readonly bodyBase64: string | undefined;
}

export type ClaimResult =
    | { readonly kind: "claimed"; }
    | { readonly kind: "existing"; readonly record: ClaimRecord; };

export interface ClaimInput {
    readonly serviceId: string;
    readonly idempotencyKey: string;
    readonly record: Omit<ClaimRecord, "outcome" | "processId" | "claimedAtMs">;
}

/** Writes claims in groups, so that the write rate stays flat as requests grow. */
export interface ClaimWriter {
    /**
     * Claims a key before dispatch. A lost answer is resolved by reading back.
     * `UnavailableError` and `OutcomeUnknownError`: the request must not be dispatched.
     */
    claim(input: ClaimInput): ResultAsync<ClaimResult, UnavailableError | OutcomeUnknownError>;
    /** Stores the outcome; retried in the background until written or 60 s old. */
    complete(input: ClaimInput, outcome: ClaimOutcome): void;
    /** Writes what is pending, then stops. */
    stop(): Promise<void>;
}
