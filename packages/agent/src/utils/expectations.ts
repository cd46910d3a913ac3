import type { RequestHead } from "../types/request.ts";
import type { Catalog } from "./catalog.ts";

/** Time per token until durations of a group have been observed. */
const FALLBACK_MS_PER_TOKEN = 5;
const FALLBACK_PLAIN_MS = 50;

/**
 * The group whose durations are learned together.
 *
 * @example
 * durationGroup(head); // "workshop-assistant/bench-01/overhaul-report"
 */
export function durationGroup(head: RequestHead): string {
    return [head.serviceId, head.modelId ?? "", head.requestClass ?? ""].join("/");
}

/**
 * Expected duration of a request before durations of its group have been observed. A guess alone
 * must not refuse a request, so it takes at most half of the time that remains.
 */
export function fallbackDurationMs(catalog: Catalog, head: RequestHead, nowMs: number): number {
    const guessMs = catalog.service()?.kind === "model"
        ? catalog.requestClass(head.requestClass).expectedTokens * FALLBACK_MS_PER_TOKEN
        : FALLBACK_PLAIN_MS;
    return Math.min(guessMs, Math.max(0, head.deadlineAtMs - nowMs) / 2);
}
