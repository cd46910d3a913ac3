import { toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { type ServerStatus, ServerStatusSchema } from "@skylarkmill/protocol";
import type { RouterContext } from "../types/context.ts";
import type { ServerState } from "../types/server.ts";
import { nowMs } from "../utils/clock.ts";
import { readServerStatus } from "../utils/server-report.ts";
import type { Peers } from "./peers.ts";

const TICK_MS = 100;
/** Size of a probe without the status message: frames and compressed headers in both directions. */
const PROBE_OVERHEAD_BYTES = 150;
/** Idle time after which a probe opens a new connection. */
const CONNECTION_IDLE_MS = 15_000;
/** Additional size of a probe that opens a connection: preface, settings and uncompressed headers. */
const CONNECT_BYTES = 450;
/** Unused budget accumulates for up to this time, so that servers are probed quickly after a start or many failures. */
const SAVED_BUDGET_SECONDS = 32;
/** Maximum number of concurrent probes. */
const MAX_IN_FLIGHT = 8;
/** All servers are probed if the budget allows a round over all of them within this time. */
const MAX_ROUND_SECONDS = 30;
/** A server whose last report is more recent than this needs no probe. */
const FRESH_MS = 2000;
/** A server is probed if an attempt has waited this long for a response, without a report or probe in this time. */
const SILENT_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
/** Number of consecutive probes without a response after which an agent is treated as unresponsive. */
const SILENT_PROBES = 2;
/** Error codes that only a running agent returns. */
const SIGNS_OF_LIFE = new Set([Code.Unauthenticated, Code.PermissionDenied, Code.Unimplemented, Code.Internal]);
/** A router without the placement duty probes the servers that it used within this time. */
const RECENT_USE_MS = 60_000;

export interface ProberOptions {
    readonly context: RouterContext;
    readonly peers: Peers;
    /** Whether to probe all backend servers, instead of only those that this router uses. */
    readonly probesAll: () => boolean;
}

/** Requests the status of agents within a bandwidth budget: the more agents, the less often each is probed. */
export class Prober {
    private readonly options: ProberOptions;
    private readonly inFlight = new Set<ServerState>();
    private readonly probedAtMs = new WeakMap<ServerState, number>();
    private budgetBytes: number;
    /** Moving average of the size of one probe. */
    private probeBytes = PROBE_OVERHEAD_BYTES;
    private affordsAll = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(options: ProberOptions) {
        this.options = options;
        this.budgetBytes = this.bytesPerSecond * SAVED_BUDGET_SECONDS;
    }

    start(): void {
        this.timer = setInterval(() => this.tick(), TICK_MS);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private get bytesPerSecond(): number {
        return this.options.context.options.limits.probeBytesPerSecond;
    }

    private tick(): void {
        const savedBytes = this.bytesPerSecond * SAVED_BUDGET_SECONDS;
        this.budgetBytes = Math.min(savedBytes, this.budgetBytes + this.bytesPerSecond * TICK_MS / 1000);
        if (this.budgetBytes <= 0) return;
        const now = nowMs();
        this.affordsAll = this.serverCount() * this.probeBytes <= this.bytesPerSecond * MAX_ROUND_SECONDS;
        const due = this.dueServers(now);
        for (const server of due) {
            if (this.budgetBytes <= 0 || this.inFlight.size >= MAX_IN_FLIGHT) return;
            // The size of the status is unknown before the response; the overhead is charged now, so that failed
            // probes use up the budget too.
            this.budgetBytes -= this.overheadBytes(server, now);
            void this.probe(server, now);
        }
    }

    private overheadBytes(server: ServerState, now: number): number {
        const isConnected = now - (this.probedAtMs.get(server) ?? -Infinity) < CONNECTION_IDLE_MS;
        return PROBE_OVERHEAD_BYTES + (isConnected ? 0 : CONNECT_BYTES);
    }

    private serverCount(): number {
        let count = 0;
        for (const _ of this.options.context.directory.all()) count += 1;
        return count;
    }

    /** Returns the servers to probe in order of urgency: unresponsive ones, then those with the oldest report. */
    private dueServers(now: number): ServerState[] {
        const due: { server: ServerState; urgency: number; }[] = [];
        for (const server of this.options.context.directory.all()) {
            if (this.inFlight.has(server) || server.host.state === "gone") continue;
            const sinceProbeMs = now - (this.probedAtMs.get(server) ?? -Infinity);
            const seenMs = Math.min(sinceProbeMs, now - server.reportedAtMs);
            const silent = seenMs >= SILENT_MS && this.hasSilentAttempt(server, now);
            const recovering = server.unreachableUntilMs > 0 && server.unreachableUntilMs <= now;
            if (!silent && !recovering && (seenMs < FRESH_MS || !this.isWatched(server, now))) continue;
            due.push({ server, urgency: silent ? Infinity : seenMs });
        }
        return due.sort((a, b) => b.urgency - a.urgency).map(entry => entry.server);
    }

    /** An attempt at the server has waited for a response for `SILENT_MS`. */
    private hasSilentAttempt(server: ServerState, now: number): boolean {
        for (const attempt of server.waiting) if (now - attempt.sentAtMs >= SILENT_MS) return true;
        return false;
    }

    /** The server is probed at intervals, even without a sign of failure. */
    private isWatched(server: ServerState, now: number): boolean {
        if (this.affordsAll || this.options.probesAll() || server.outstandingCount > 0 || server.agentDraining) {
            return true;
        }
        if (server.status === undefined) return true;
        return now - server.usedAtMs < RECENT_USE_MS;
    }

    private async probe(server: ServerState, now: number): Promise<void> {
        const { context, peers } = this.options;
        this.inFlight.add(server);
        this.probedAtMs.set(server, now);
        try {
            const request = { routerId: context.options.processId };
            const status = await peers.clientOf(server.host).calls.probe(request, { timeoutMs: PROBE_TIMEOUT_MS });
            this.accept(server, status);
        }
        catch (error) {
            this.reject(server, error);
        }
        finally {
            this.inFlight.delete(server);
        }
    }

    private accept(server: ServerState, status: ServerStatus): void {
        const now = nowMs();
        const sizeBytes = toBinary(ServerStatusSchema, status).length;
        this.budgetBytes -= sizeBytes;
        this.probeBytes += (PROBE_OVERHEAD_BYTES + sizeBytes - this.probeBytes) / 8;
        server.status = status;
        server.statusAtMs = now;
        server.missedProbeCount = 0;
        this.options.context.directory.applyReport(server, readServerStatus(status, now), now);
    }

    /**
     * Handles a failed probe. A single timeout is not treated as a failure, since both processes may be busy; an
     * error that the agent itself returned shows that it is running.
     */
    private reject(server: ServerState, error: unknown): void {
        const { directory, logger } = this.options.context;
        logger.debug({ step: "agent.probe", peer: server.serverId, err: error }, "probe failed");
        if (SIGNS_OF_LIFE.has(ConnectError.from(error).code)) return;
        server.missedProbeCount += 1;
        if (server.missedProbeCount >= SILENT_PROBES) directory.markSilent(server, nowMs());
    }
}
