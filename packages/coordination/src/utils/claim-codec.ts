import { createHash } from "node:crypto";
import { z } from "zod";
import type { ClaimRecord } from "../types/claim.ts";
import type { KeyValueEntry } from "../types/key-value-store.ts";

const claimSchema = z.object({
    requestId: z.string(),
    attemptId: z.string(),
    processId: z.string(),
    claimedAtMs: z.number(),
    fingerprint: z.string(),
    outcome: z.object({
        kind: z.enum(["finished", "not_run", "unknown"]),
        status: z.int(),
        contentType: z.string(),
        bodyBase64: z.string().optional(),
    }).optional(),
});

/** Hashes an idempotency key, so that one of any length and content can be part of a key in the key-value service. */
export function hashIdempotencyKey(idempotencyKey: string): string {
    return createHash("sha256").update(idempotencyKey).digest("hex");
}

/** Parses a stored claim. A malformed value becomes a claim without outcome, so that its request does not run twice. */
export function parseClaim(entry: KeyValueEntry): ClaimRecord {
    const parsed = claimSchema.safeParse(parseJson(entry.value));
    if (parsed.success) return parsed.data as unknown as ClaimRecord;
    return {
        requestId: "" as ClaimRecord["requestId"],
        attemptId: "" as ClaimRecord["attemptId"],
        processId: "" as ClaimRecord["processId"],
        claimedAtMs: 0,
        fingerprint: "",
        outcome: undefined,
    };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
