import type { ServerView } from "../types/policies.ts";

/**
 * Expected time in milliseconds until a slot of the server is free for a new request, without regard to the server's
 * slowness.
 *
 * The outstanding requests of this router count fully. Requests of other routers come from the server's last report and
 * count less the older the report is.
 *
 * @param expectedMs expected duration of a request, used while the server has reported no work
 * @param staleReportMs age at which the weight of a report has fallen to about a third
 * @example
 * const waitMs = expectedWaitMs(server, request.expectedMs, 500);
 */
export function expectedWaitMs(server: ServerView, expectedMs: number, staleReportMs: number): number {
    const requestCount = expectedRequestCount(server, staleReportMs);
    const reportedMs = server.reportedCount > 0 ? server.backlogMs / server.reportedCount : expectedMs;
    // Servers start short requests first and reserve slots for them, so queued long requests delay short ones little.
    const meanMs = Math.min(reportedMs, 2 * expectedMs);
    return Math.max(0, requestCount + 1 - server.slotCount) / server.slotCount * meanMs;
}

/** Expected number of requests that are queued or running at the server. */
export function expectedRequestCount(server: ServerView, staleReportMs: number): number {
    const freshness = Math.exp(-server.reportAgeMs / staleReportMs);
    return server.outstandingCount + Math.max(0, server.reportedCount - server.outstandingCount) * freshness;
}
