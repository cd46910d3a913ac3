import { type PlatformServerStandIn, REFUSAL_AFTER_RUN } from "../platform/stand-ins/platform-server.ts";
import type { RawResult } from "../support/raw-caller.ts";

/** A request of a soak, and what its caller saw. */
export interface SoakCall {
    readonly id: string;
    readonly path: string;
    readonly version: "1.0" | "1.1";
    readonly gateway: string;
    readonly lastEventId: number;
    readonly tookMs: number;
    /** Undefined if no connection was opened. */
    readonly result: RawResult | undefined;
    /** Whether the gateway's process was killed meanwhile. */
    readonly wasKilled: boolean;
    /** Whether its server was still at work on it in the last sixth of a stop's time, see `hasOutlastedStop`. */
    readonly hasOutlastedStop: boolean;
}

export const STREAM_PATHS: readonly string[] = ["/chat/x", "/draft/x"];
/** Number of events of each stream. */
export const EVENT_COUNT = 40;
/** Statuses that state that the request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
/** Statuses of valid requests; 0 stands for no response. */
const STATUSES = [0, 200, 500, 502, 503, 504];
const PLANNED_STATUSES = [0, 200, 503];
/** Time after which a request without an answer counts as read. */
const LOSS_SLACK_MS = 200;
/** Time of a stop in the fixture's settings, and the share of it after which a request that is still running may be cut. */
const STOP_MS = 6_000;
const SERVED_STOP_SHARE = 5 / 6;
/** Requests that are sent later in a stop must not be cut. */
const MAX_SENT_IN_STOP_MS = 3_000;

/** Whether a request that ended now may have been cut by the end of one of its gateway's stops. */
export function hasOutlastedStop(sentAtMs: number, endedAtMs: number, terminatedAtMs: readonly number[]): boolean {
    return terminatedAtMs.some(atMs =>
        sentAtMs <= atMs + MAX_SENT_IN_STOP_MS && endedAtMs >= atMs + SERVED_STOP_SHARE * STOP_MS
        && sentAtMs >= atMs - STOP_MS && endedAtMs <= atMs + 2 * STOP_MS
    );
}

/** Compares a call with the journals of the servers; returns what is wrong. */
export function checkCall(call: SoakCall, servers: readonly PlatformServerStandIn[], isPlanned: boolean): string[] {
    const { id, path, version, lastEventId, result, tookMs } = call;
    const problems: string[] = [];
    const runs = servers.reduce((sum, server) => sum + server.countRuns(id), 0);
    const wasPassedOn = servers.some(server => server.requests.some(request => request.id === id));
    const isRepeatable = path === "/chat/x" || path === "/lookup/x";
    if (runs > (isRepeatable ? 2 : 1)) problems.push(`ran ${runs} times`);
    const { status = 0, text = "", framing, isComplete = false, extraByteCount = 0 } = result ?? {};
    if (!(isPlanned ? PLANNED_STATUSES : STATUSES).includes(status)) problems.push("unexpected status");
    // A request that may run again gets what its server answered.
    const isServersOwn = isRepeatable && text === REFUSAL_AFTER_RUN;
    if (NOT_RUN_STATUSES.includes(status) && runs > 0 && !isServersOwn) {
        problems.push(`refused as not run, ran ${runs} times`);
    }
    if (extraByteCount > 0) problems.push("bytes behind the response");
    if (status === 200) {
        const wholes = servers.filter(server => server.countRuns(id) > 0).map(server =>
            STREAM_PATHS.includes(path) ? createStream(server, id, lastEventId) : server.createBody(id)
        );
        // A killed process can't reset its connections, and there are no chunks in HTTP/1.0.
        const canEndUnnoticed = call.wasKilled && version === "1.0" && framing === "none";
        if (isComplete && !canEndUnnoticed && !wholes.includes(text)) problems.push("looks complete, but is not whole");
        if (!wholes.some(whole => whole.startsWith(text))) problems.push("has other bytes than its server sent");
    }
    const mayBeCut = wasPassedOn && call.hasOutlastedStop;
    const wasRead = wasPassedOn || tookMs > LOSS_SLACK_MS;
    if (isPlanned && result !== undefined && !isComplete && wasRead && !mayBeCut) {
        problems.push(`lost, ${wasPassedOn ? "" : "not "}passed on`);
    }
    const outcome = JSON.stringify({ ...result, text: text.slice(-60), length: text.length });
    return problems.map(problem =>
        `${id} ${path} HTTP/${version} at ${call.gateway}, ${Math.round(tookMs)} ms: ${problem}; ${outcome}`
    );
}

function createStream(server: PlatformServerStandIn, id: string, lastEventId: number): string {
    const count = EVENT_COUNT - lastEventId;
    return Array.from({ length: count }, (_, index) => server.createEvent(id, lastEventId + 1 + index)).join("");
}
