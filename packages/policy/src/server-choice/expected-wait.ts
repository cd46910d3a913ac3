import type { ServerView } from "../types/policies.ts";

/**
 * Expected time in milliseconds until a slot of the server takes a new request, its slowness left out.
 *
 * The own outstanding requests always count; what others have there counts less the older the report is.
 *
 * @param expectedMs expected duration of a request, used while the server has reported no work
 * @param staleReportMs age at which a report counts for about a third
 * @example
 * const waitMs = expectedWaitMs(server, request.expectedMs, 500);
 */
export function expectedWaitMs(server: ServerView, expectedMs: number, staleReportMs: number): number {
    const count = expectedCount(server, staleReportMs);
    const reportedMs = server.reportedCount > 0 ? server.backlogMs / server.reportedCount : expectedMs;
    // Queues serve short requests first and keep slots for them, so long work there delays them little.
    const meanMs = Math.min(reportedMs, 2 * expectedMs);
    return Math.max(0, count + 1 - server.slotCount) / server.slotCount * meanMs;
}

/** Requests that are probably queued or running at the server. */
export function expectedCount(server: ServerView, staleReportMs: number): number {
    const freshness = Math.exp(-server.reportAgeMs / staleReportMs);
    return server.outstandingCount + Math.max(0, server.reportedCount - server.outstandingCount) * freshness;
}
