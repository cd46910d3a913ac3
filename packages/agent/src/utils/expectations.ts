import type { RequestHead } from "../types/request.ts";
import type { Catalog } from "./catalog.ts";

/** Assumed time per token of a model service until durations of a group have been observed. */
const FALLBACK_MS_PER_TOKEN = 5;
/** Assumed duration of a request to a plain service until durations of a group have been observed. */
const FALLBACK_PLAIN_MS = 50;

/**
 * Returns the group of requests for which one duration is learned.
 *
 * @example
 * durationGroup(head); // "workshop-assistant/bench-01/overhaul-report"
 */
export function durationGroup(head: RequestHead): string {
    return [head.serviceId, head.modelId ?? "", head.requestClass ?? ""].join("/");
}

/**
 * Returns the assumed duration of a request before durations of its group have been observed.
 * It is at most half of the remaining time, since an assumption alone must not cause a refusal.
 */
export function fallbackDurationMs(catalog: Catalog, head: RequestHead, nowMs: number): number {
    const guessMs = catalog.service()?.kind === "model"
        ? catalog.requestClass(head.requestClass).expectedTokens * FALLBACK_MS_PER_TOKEN
        : FALLBACK_PLAIN_MS;
    return Math.min(guessMs, Math.max(0, head.deadlineAtMs - nowMs) / 2);
}
