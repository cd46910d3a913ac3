import type { HostEntry, Membership } from "@skylarkmill/adapters";
import { type DrainRecord, KEYS } from "@skylarkmill/config";
import type { RecordReader } from "@skylarkmill/coordination";
import { type AdapterId, type ModelId, type ServerId, type ServiceId, TimeoutError } from "@skylarkmill/protocol";
import type { ServerReport, ServerState } from "../types/server.ts";

/** Range of the exponential backoff before an unreachable agent is chosen again. */
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2000;

/** Tracks the state of all backend servers from the host list, drain records, agents' reports and failed attempts. */
export class ServerDirectory {
    private readonly membership: Membership;
    private readonly records: RecordReader;
    private readonly servers = new Map<ServerId, ServerState>();
    private readonly serversByService = new Map<ServiceId, ServerState[]>();
    private readonly listeners = new Set<() => void>();
    private readonly unsubscribes: (() => void)[] = [];

    constructor(membership: Membership, records: RecordReader) {
        this.membership = membership;
        this.records = records;
    }

    start(): void {
        this.unsubscribes.push(
            this.membership.subscribe(() => this.updateFromHostList()),
            this.records.subscribe(KEYS.drainsPrefix, () => this.updateFromDrainRecords()),
            this.records.subscribe(KEYS.grantsPrefix, () => this.notify()),
            this.records.subscribe(KEYS.configPrefix, () => this.notify()),
        );
        this.updateFromHostList();
    }

    stop(): void {
        for (const unsubscribe of this.unsubscribes) unsubscribe();
        this.listeners.clear();
    }

    /** Calls the listener after each change that may make a server available. Returns an unsubscribe function. */
    subscribe(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    get(serverId: ServerId): ServerState | undefined {
        return this.servers.get(serverId);
    }

    all(): Iterable<ServerState> {
        return this.servers.values();
    }

    serversOf(serviceId: ServiceId): readonly ServerState[] {
        return this.serversByService.get(serviceId) ?? [];
    }

    /** The server is neither leaving nor draining. */
    isAcceptingRequests(server: ServerState): boolean {
        return server.host.state === "live" && !server.isAgentDraining && !server.isOperatorDraining;
    }

    /** The server is neither leaving nor draining, and it is not in backoff after a failure. */
    isAvailable(server: ServerState, nowMs: number): boolean {
        return this.isAcceptingRequests(server) && server.unreachableUntilMs <= nowMs;
    }

    /** Applies an agent's report; it also shows that the agent is reachable. */
    applyReport(server: ServerState, report: ServerReport, nowMs: number): void {
        server.report = report;
        if (report.models !== undefined) server.models = new Map(report.models);
        server.reportedAtMs = nowMs;
        server.consecutiveFailureCount = 0;
        server.missedProbeCount = 0;
        const hasChanged = server.isAgentDraining !== report.isDraining || server.unreachableUntilMs > 0;
        server.isAgentDraining = report.isDraining;
        server.unreachableUntilMs = 0;
        if (hasChanged) this.notify();
    }

    /** Records that the model is loaded at the server, since the server sent one of its responses. */
    recordLoadedModel(server: ServerState, modelId: ModelId, adapterId: AdapterId | undefined, seenAtMs: number): void {
        const knownAdapterIds = server.models.get(modelId)?.adapterIds ?? [];
        const adapterIds = adapterId === undefined || knownAdapterIds.includes(adapterId)
            ? knownAdapterIds
            : [...knownAdapterIds, adapterId];
        server.models.set(modelId, { seenAtMs, state: "ready", adapterIds });
    }

    /**
     * Marks an agent that does not respond although its port is bound, and abandons its idempotent attempts that
     * wait for a response, so that they move to other servers.
     */
    markUnresponsive(server: ServerState, nowMs: number): void {
        this.markUnreachable(server, nowMs);
        const error = new TimeoutError("the agent does not respond", { step: "agent.probe", peer: server.serverId });
        for (const attempt of [...server.waitingAttempts]) if (attempt.isIdempotent) attempt.abandon(error);
    }

    /** Marks the server as draining; it gets no new work until a later report shows that it no longer drains. */
    markDraining(server: ServerState): void {
        server.isAgentDraining = true;
    }

    /** Starts a backoff after a failure to reach the agent. Requests that fail together count as one failure. */
    markUnreachable(server: ServerState, nowMs: number): void {
        if (server.unreachableUntilMs > nowMs) return;
        server.consecutiveFailureCount += 1;
        const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (server.consecutiveFailureCount - 1));
        server.unreachableUntilMs = nowMs + backoffMs;
    }

    private updateFromHostList(): void {
        const listed = new Map<ServerId, HostEntry>();
        for (const host of this.membership.hosts()) {
            if (host.role !== "backend" || host.serverId === undefined) continue;
            // A replaced host and its successor may both be listed; the live one takes precedence.
            if (listed.get(host.serverId)?.state !== "live") listed.set(host.serverId, host);
        }
        for (const [serverId, host] of listed) {
            if (host.serviceId !== undefined) this.applyHost(host, serverId, host.serviceId);
        }
        for (const server of this.servers.values()) {
            const isRemoved = !listed.has(server.serverId) && this.membership.isGone(server.host.hostId);
            if (isRemoved) this.servers.delete(server.serverId);
        }
        this.groupByService();
        this.updateFromDrainRecords();
    }

    private applyHost(host: HostEntry, serverId: ServerId, serviceId: ServiceId): void {
        const existing = this.servers.get(serverId);
        const isSameAgent = existing?.host.address === host.address && existing.host.requestPort === host.requestPort;
        if (existing !== undefined && isSameAgent && existing.serviceId === serviceId) {
            existing.host = host;
            return;
        }
        this.servers.set(serverId, {
            serverId,
            serviceId,
            host,
            report: undefined,
            models: new Map(),
            waitingAttempts: new Set(),
            status: undefined,
            statusAtMs: 0,
            lastUsedAtMs: -Infinity,
            missedProbeCount: 0,
            reportedAtMs: -Infinity,
            outstandingCount: 0,
            isAgentDraining: false,
            isOperatorDraining: false,
            unreachableUntilMs: 0,
            cachedSlowness: 1,
            cachedSlownessAtMs: 0,
            consecutiveFailureCount: 0,
        });
    }

    private groupByService(): void {
        this.serversByService.clear();
        for (const server of this.servers.values()) {
            const group = this.serversByService.get(server.serviceId);
            if (group === undefined) this.serversByService.set(server.serviceId, [server]);
            else group.push(server);
        }
    }

    private updateFromDrainRecords(): void {
        for (const server of this.servers.values()) {
            const drain = this.records.get<DrainRecord>(KEYS.drain(server.host.hostId));
            server.isOperatorDraining = drain?.value !== undefined;
        }
        this.notify();
    }

    private notify(): void {
        // A listener may subscribe again during the call, so the loop iterates over a copy.
        for (const listener of [...this.listeners]) listener();
    }
}
