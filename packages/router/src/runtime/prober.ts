import { toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { type ServerStatus, ServerStatusSchema } from "@skylarkmill/protocol";
import type { RouterContext } from "../types/context.ts";
import type { ServerState } from "../types/server.ts";
import { nowMs } from "../utils/clock.ts";
import { readServerStatus } from "../utils/server-report.ts";
import type { Peers } from "./peers.ts";

const TICK_MS = 100;
/** Bytes of a probe beside the status: frames and compressed headers of both directions. */
const PROBE_OVERHEAD_BYTES = 150;
/** A probe after a longer pause opens a connection, whose preface, settings and full headers cost more. */
const CONNECTION_IDLE_MS = 15_000;
const CONNECT_BYTES = 450;
/** Budget that may be saved up, so that a start or a wave of failures is seen quickly. */
const SAVED_BUDGET_SECONDS = 32;
const MAX_IN_FLIGHT = 8;
/** All servers are probed while the budget allows one round in this time. */
const MAX_ROUND_SECONDS = 30;
/** A report of this age needs no probe. */
const FRESH_MS = 2000;
/** An attempt that waits for so long without any sign from its agent is a reason to probe. */
const SILENT_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
/** Probes without an answer after which an agent counts as silent. */
const SILENT_PROBES = 2;
const SIGNS_OF_LIFE = new Set([Code.Unauthenticated, Code.PermissionDenied, Code.Unimplemented, Code.Internal]);
/** Servers that were used within this time are probed by a router that does not hold the placement duty. */
const RECENT_USE_MS = 60_000;

export interface ProberOptions {
    readonly context: RouterContext;
    readonly peers: Peers;
    /** All backend servers are probed; otherwise only those in use. */
    readonly probesAll: () => boolean;
}

/** Asks agents for their status, within a budget of bytes: with more agents, each is asked more rarely. */
export class Prober {
    private readonly options: ProberOptions;
    private readonly inFlight = new Set<ServerState>();
    private readonly probedAtMs = new WeakMap<ServerState, number>();
    private budgetBytes: number;
    /** Moving average of what one probe costs. */
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
            // The size is not known before the answer; this part bounds what failing probes cost.
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

    /** Servers to probe, the most urgent first: silent ones, then those with the oldest report. */
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

    private hasSilentAttempt(server: ServerState, now: number): boolean {
        for (const attempt of server.waiting) if (now - attempt.sentAtMs >= SILENT_MS) return true;
        return false;
    }

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

    /** One missed probe proves nothing, since both processes may be busy; a refused one is a sign of life. */
    private reject(server: ServerState, error: unknown): void {
        const { directory, logger } = this.options.context;
        logger.debug({ step: "agent.probe", peer: server.serverId, err: error }, "probe failed");
        if (SIGNS_OF_LIFE.has(ConnectError.from(error).code)) return;
        server.missedProbeCount += 1;
        if (server.missedProbeCount >= SILENT_PROBES) directory.markSilent(server, nowMs());
    }
}
