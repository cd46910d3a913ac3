import { toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { nowMs } from "@skylarkmill/coordination";
import { type ServerStatus, ServerStatusSchema } from "@skylarkmill/protocol";
import type { RouterContext } from "../types/context.ts";
import type { ServerState } from "../types/server.ts";
import { createServerReport } from "../utils/server-report.ts";
import type { Peers } from "./peers.ts";

const TICK_INTERVAL_MS = 100;
/** Size of a probe without the status message: frames and compressed headers in both directions. */
const PROBE_OVERHEAD_BYTES = 150;
/** Idle time after which a probe opens a new connection. */
const CONNECTION_IDLE_MS = 15_000;
/** Additional size of a probe that opens a connection: preface, settings and uncompressed headers. */
const CONNECTION_OVERHEAD_BYTES = 450;
/** Unused budget accumulates for up to this time, so that servers are probed quickly after a start or many failures. */
const MAX_SAVED_BUDGET_SECONDS = 32;
/** Maximum number of concurrent probes. */
const MAX_CONCURRENT_PROBES = 8;
/** All servers are probed if the budget allows a round over all of them within this time. */
const MAX_ROUND_SECONDS = 30;
/** Without a sign of failure, a server is not probed again within this time after its last report or probe. */
const MIN_PROBE_INTERVAL_MS = 2000;
/** A server is probed if an attempt has waited this long for a response, without a report or probe in this time. */
const MIN_SILENCE_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
/** Number of consecutive probes without a response after which an agent is treated as unresponsive. */
const UNRESPONSIVE_PROBE_COUNT = 2;
/** Error codes that only a running agent returns. */
const RUNNING_AGENT_ERROR_CODES = new Set([
    Code.Unauthenticated,
    Code.PermissionDenied,
    Code.Unimplemented,
    Code.Internal,
]);
/** A router without the placement duty probes the servers that it used within this time. */
const RECENT_USE_MS = 60_000;

export interface ProberOptions {
    readonly context: RouterContext;
    readonly peers: Peers;
    /** Whether to probe all backend servers, instead of only those that this router uses. */
    readonly shouldProbeAll: () => boolean;
}

/** Requests the status of agents within a bandwidth budget: the more agents, the less often each is probed. */
export class Prober {
    private readonly options: ProberOptions;
    private readonly serversInProbe = new Set<ServerState>();
    private readonly probedAtMs = new WeakMap<ServerState, number>();
    private budgetBytes: number;
    /** Moving average of the size of one probe. */
    private averageProbeBytes = PROBE_OVERHEAD_BYTES;
    private canProbeAll = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(options: ProberOptions) {
        this.options = options;
        this.budgetBytes = this.bytesPerSecond * MAX_SAVED_BUDGET_SECONDS;
    }

    start(): void {
        this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private get bytesPerSecond(): number {
        return this.options.context.options.limits.probeBytesPerSecond;
    }

    private tick(): void {
        const maxBudgetBytes = this.bytesPerSecond * MAX_SAVED_BUDGET_SECONDS;
        this.budgetBytes = Math.min(maxBudgetBytes, this.budgetBytes + this.bytesPerSecond * TICK_INTERVAL_MS / 1000);
        if (this.budgetBytes <= 0) return;
        const now = nowMs();
        this.canProbeAll = this.serverCount() * this.averageProbeBytes <= this.bytesPerSecond * MAX_ROUND_SECONDS;
        const servers = this.dueServers(now);
        for (const server of servers) {
            if (this.budgetBytes <= 0 || this.serversInProbe.size >= MAX_CONCURRENT_PROBES) return;
            // The size of the status is unknown before the response; the overhead is charged now, so that failed
            // probes use up the budget too.
            this.budgetBytes -= this.probeOverheadBytes(server, now);
            void this.probe(server, now);
        }
    }

    private probeOverheadBytes(server: ServerState, now: number): number {
        const isConnected = now - (this.probedAtMs.get(server) ?? -Infinity) < CONNECTION_IDLE_MS;
        return PROBE_OVERHEAD_BYTES + (isConnected ? 0 : CONNECTION_OVERHEAD_BYTES);
    }

    private serverCount(): number {
        let count = 0;
        for (const _ of this.options.context.directory.all()) count += 1;
        return count;
    }

    /**
     * Returns the servers to probe in order of urgency: first those with an attempt that has waited too long for a
     * response, then by the time since the last report or probe.
     */
    private dueServers(now: number): ServerState[] {
        const due: { server: ServerState; urgency: number; }[] = [];
        for (const server of this.options.context.directory.all()) {
            if (this.serversInProbe.has(server) || server.host.state === "gone") continue;
            const sinceProbeMs = now - (this.probedAtMs.get(server) ?? -Infinity);
            const sinceReportOrProbeMs = Math.min(sinceProbeMs, now - server.reportedAtMs);
            const isSilent = sinceReportOrProbeMs >= MIN_SILENCE_MS && this.hasSilentAttempt(server, now);
            const isRecovering = server.unreachableUntilMs > 0 && server.unreachableUntilMs <= now;
            if (
                !isSilent && !isRecovering
                && (sinceReportOrProbeMs < MIN_PROBE_INTERVAL_MS || !this.isMonitored(server, now))
            ) continue;
            due.push({ server, urgency: isSilent ? Infinity : sinceReportOrProbeMs });
        }
        return due.sort((a, b) => b.urgency - a.urgency).map(entry => entry.server);
    }

    /** An attempt at the server has waited for a response for `MIN_SILENCE_MS`. */
    private hasSilentAttempt(server: ServerState, now: number): boolean {
        for (const attempt of server.waitingAttempts) if (now - attempt.sentAtMs >= MIN_SILENCE_MS) return true;
        return false;
    }

    /** The server is probed at intervals, even without a sign of failure. */
    private isMonitored(server: ServerState, now: number): boolean {
        if (
            this.canProbeAll || this.options.shouldProbeAll() || server.outstandingCount > 0 || server.isAgentDraining
        ) {
            return true;
        }
        if (server.status === undefined) return true;
        return now - server.lastUsedAtMs < RECENT_USE_MS;
    }

    private async probe(server: ServerState, now: number): Promise<void> {
        const { context, peers } = this.options;
        this.serversInProbe.add(server);
        this.probedAtMs.set(server, now);
        try {
            const request = { routerId: context.options.processId };
            const status = await peers.clientOf(server.host).calls.probe(request, { timeoutMs: PROBE_TIMEOUT_MS });
            this.handleStatus(server, status);
        }
        catch (error) {
            this.handleProbeFailure(server, error);
        }
        finally {
            this.serversInProbe.delete(server);
        }
    }

    private handleStatus(server: ServerState, status: ServerStatus): void {
        const now = nowMs();
        const sizeBytes = toBinary(ServerStatusSchema, status).length;
        this.budgetBytes -= sizeBytes;
        this.averageProbeBytes += (PROBE_OVERHEAD_BYTES + sizeBytes - this.averageProbeBytes) / 8;
        server.status = status;
        server.statusAtMs = now;
        server.missedProbeCount = 0;
        this.options.context.directory.applyReport(server, createServerReport(status, now), now);
    }

    /**
     * Handles a failed probe. A single timeout is not treated as a failure, since both processes may be busy; an
     * error that the agent itself returned shows that it is running.
     */
    private handleProbeFailure(server: ServerState, error: unknown): void {
        const { directory, logger } = this.options.context;
        logger.debug({ step: "agent.probe", peer: server.serverId, err: error }, "probe failed");
        if (RUNNING_AGENT_ERROR_CODES.has(ConnectError.from(error).code)) return;
        server.missedProbeCount += 1;
        if (server.missedProbeCount >= UNRESPONSIVE_PROBE_COUNT) directory.markUnresponsive(server, nowMs());
    }
}
