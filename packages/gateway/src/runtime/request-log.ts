import { type EventGravity, nowMs } from "@skylarkmill/coordination";
import type { Refusal } from "@skylarkmill/protocol";
import type { Route } from "../types/configuration.ts";
import type { GatewayContext } from "../types/context.ts";
import type { CallerRequest, ResponseHead } from "../types/engine.ts";
import type { Attempt } from "./attempt.ts";
import type { RequestTiming } from "./request-timing.ts";
import type { ServerState } from "./server-state.ts";

/** How far a request has come, for its log lines. */
export interface RequestProgress {
    readonly sendCount: number;
    readonly rejectedCount: number;
    readonly lastEventId: number | undefined;
    readonly attempt: Attempt | undefined;
}

/** Writes the log lines of one request and measures its latency. */
export class RequestLog {
    private firstByteAtMs = 0;
    /** Time at which the last part of the response was relayed; 0 before that. */
    lastByteAtMs = 0;
    private longestPauseMs = 0;
    private wasHeld = false;

    constructor(
        private readonly context: Pick<GatewayContext, "logger" | "metrics" | "requestLogLimiter" | "directory">,
        private readonly route: Route,
        private readonly request: CallerRequest,
        private readonly timing: RequestTiming,
        private readonly getProgress: () => RequestProgress,
    ) {}

    recordFirstByte(): void {
        this.firstByteAtMs = nowMs();
        this.lastByteAtMs = this.firstByteAtMs;
        this.context.metrics.firstByteSeconds.observe((this.firstByteAtMs - this.timing.startedAtMs) / 1000);
    }

    recordPause(): void {
        const now = nowMs();
        this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastByteAtMs);
        this.lastByteAtMs = now;
    }

    /** Logs and counts, once, that all servers of the request are on hold. */
    recordHeld(server: ServerState, now: number): void {
        if (this.wasHeld) return;
        this.wasHeld = true;
        this.context.metrics.heldRequests.inc();
        const fields = { server: server.record.serverId, holdMs: Math.round(server.holdMs(now)) };
        this.write({ step: "request.hold", ...fields }, "every server of the request is on hold");
    }

    /** The end of a stream without a length or chunks can't be told from a cut between two events. */
    recordUnverifiedEnd(attempt: Attempt): void {
        this.context.metrics.unverifiedEnds.inc();
        const { lastEventId, sendCount } = this.getProgress();
        const fields = { step: "request.end_unverified", server: attempt.server.record.serverId };
        const progress = { events: attempt.eventCount, lastEventId, sends: sendCount };
        this.write({ ...fields, ...progress }, "stream ended with its server's connection");
    }

    writeAnswered(): void {
        const { requestId, modelId, adapterId } = this.request;
        const { attempt, sendCount } = this.getProgress();
        this.context.logger.debug({
            step: "request.answered",
            requestId,
            route: this.route.name,
            model: modelId,
            adapter: adapterId,
            server: attempt?.server.record.serverId,
            firstByteMs: Math.round(this.firstByteAtMs - this.timing.startedAtMs),
            longestPauseMs: Math.round(this.longestPauseMs),
            events: attempt?.eventCount,
            tookMs: Math.round(nowMs() - this.timing.startedAtMs),
            sends: sendCount,
        }, "request answered");
    }

    writeFailure(step: string, attempt: Attempt, cause: string): void {
        const { serverId } = attempt.server.record;
        this.write(
            { step, server: serverId, cause, events: attempt.eventCount, ...describeHead(attempt.head) },
            "attempt failed",
        );
    }

    writeRefusal({ status, code, execution, retryAfterMs }: Refusal): void {
        const { directory } = this.context;
        const { modelId } = this.request;
        const { rejectedCount, sendCount } = this.getProgress();
        const eta = modelId === undefined ? undefined : directory.etaMs(modelId);
        const inputs = { eta, placement: directory.hasPlacement, rejected: rejectedCount, sends: sendCount };
        this.write({ step: "request.refused", status, code, execution, retryAfterMs, ...inputs }, "request refused");
    }

    writeBroken(cause: string): void {
        const { attempt, lastEventId, sendCount } = this.getProgress();
        const fields = { step: "request.broken", cause, server: attempt?.server.record.serverId };
        this.write({ ...fields, lastEventId, sends: sendCount }, "response aborted before its end", "grave");
    }

    private write(fields: object, message: string, gravity: EventGravity = "normal"): void {
        const skipped = this.context.requestLogLimiter.admitEvent(nowMs(), gravity);
        if (skipped === undefined) return this.context.metrics.skippedLogLines.inc();
        const { requestId, modelId, adapterId } = this.request;
        const requestFields = {
            requestId,
            route: this.route.name,
            workspace: this.request.workspaceId,
            model: modelId,
            adapter: adapterId,
            waitedMs: Math.round(nowMs() - this.timing.startedAtMs),
            remainingMs: Math.round(this.timing.deadlineAtMs - nowMs()),
        };
        this.context.logger.info({ ...requestFields, ...fields, ...(skipped > 0 ? { skipped } : {}) }, message);
    }
}

/** What a response said of its request; nothing if there was none. */
function describeHead(head: ResponseHead | undefined): object {
    if (head === undefined) return {};
    return { status: head.status, markedNotRun: head.isMarkedNotRun, sameRequest: head.namesRequest };
}
