import { HEADERS, toId } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { RequestHead } from "../types/request.ts";

/** Longest time until the deadline that a router may send. */
const MAX_REMAINING_MS = 600_000;

/**
 * Parses a router's headers. The error names the missing or invalid header.
 *
 * @example
 * const head = parseRequestHead(name => request.headers.get(name) ?? undefined, Date.now());
 */
export function parseRequestHead(
    header: (name: string) => string | undefined,
    nowMs: number,
): Result<RequestHead, string> {
    const requestId = header(HEADERS.requestId);
    const attemptId = header(HEADERS.attemptId);
    const serviceId = header(HEADERS.service);
    const remainingMs = Number(header(HEADERS.remainingMs) || Number.NaN);
    if (!requestId) return err(`Header ${HEADERS.requestId} is missing.`);
    if (!attemptId) return err(`Header ${HEADERS.attemptId} is missing.`);
    if (!serviceId) return err(`Header ${HEADERS.service} is missing.`);
    if (!(remainingMs >= 0 && remainingMs <= MAX_REMAINING_MS)) {
        return err(`Header ${HEADERS.remainingMs} must be a number from 0 to ${MAX_REMAINING_MS}.`);
    }
    const modelId = header(HEADERS.model);
    const adapterId = header(HEADERS.adapter);
    return ok({
        requestId: toId(requestId),
        attemptId: toId(attemptId),
        serviceId: toId(serviceId),
        modelId: modelId ? toId(modelId) : undefined,
        adapterId: adapterId ? toId(adapterId) : undefined,
        isNonIdempotent: header(HEADERS.nonIdempotent) === "1",
        idempotencyKey: header(HEADERS.idempotencyKey) || undefined,
        requestClass: header(HEADERS.requestClass) || undefined,
        deadlineAtMs: nowMs + remainingMs,
    });
}
