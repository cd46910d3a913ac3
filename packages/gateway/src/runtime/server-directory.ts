import type { Logger } from "@skylarkmill/coordination";
import type { AdapterId, DataCentre, ModelId, ServerId, ServiceId } from "@skylarkmill/protocol";
import type { ServerRecord } from "../types/engine.ts";
import type { EngineTotal, PlacementState, RunningDemand } from "../types/placement.ts";
import { nowMs } from "../utils/clock.ts";
import { ServerState } from "./server-state.ts";

/** Placement state older than this is not trusted; the servers' own records count instead. */
const PLACEMENT_VALID_MS = 2_500;

/** All backend servers that the key-value service or a peer names. */
export class ServerDirectory {
    private readonly servers = new Map<ServerId, ServerState>();
    /** Servers that were seen leaving, with the time of their start; an older record can't bring them back. */
    private readonly left = new Map<ServerId, number>();
    private readonly listeners = new Set<() => void>();
    private placement: PlacementState | undefined;
    private placementAtMs = -Infinity;

    constructor(private readonly logger: Logger) {}

    /** Calls back after each change that may let a waiting request go on. */
    onChange(listener: () => void): void {
        this.listeners.add(listener);
    }

    all(): IterableIterator<ServerState> {
        return this.servers.values();
    }

    get(serverId: ServerId): ServerState | undefined {
        return this.servers.get(serverId);
    }

    /** Adds or updates a server; a server that was seen leaving stays so for the same start. */
    put(record: ServerRecord): void {
        const leftBornAtMs = this.left.get(record.serverId);
        if (record.draining) this.left.set(record.serverId, record.bornAtMs);
        const draining = record.draining || leftBornAtMs !== undefined && leftBornAtMs >= record.bornAtMs;
        const known = this.servers.get(record.serverId);
        // The key-value service delivers records in order, but a peer's copy may be older.
        if (known !== undefined && known.record.bornAtMs > record.bornAtMs) return;
        const next = { ...record, draining };
        if (known === undefined) {
            this.servers.set(record.serverId, new ServerState(next));
            this.logger.info(
                { step: "server.join", server: record.serverId, service: record.serviceId, draining },
                "server joined",
            );
            this.placeOne(this.servers.get(record.serverId)!);
        }
        else {
            if (draining && !known.record.draining) {
                this.logger.info(
                    { step: "server.leave", server: record.serverId, reason: "draining" },
                    "server leaves",
                );
            }
            if (record.bornAtMs !== known.record.bornAtMs) {
                this.logger.info({ step: "server.restart", server: record.serverId }, "server restarted");
            }
            known.update(next);
        }
        this.notify();
    }

    remove(serverId: ServerId, reason: string): void {
        if (!this.servers.delete(serverId)) return;
        this.logger.info({ step: "server.leave", server: serverId, reason }, "server left");
        this.notify();
    }

    /** Takes over what the planner says of the engines. */
    place(state: PlacementState): void {
        const known = this.placement;
        if (known !== undefined && state.term < known.term) return;
        this.placementAtMs = nowMs();
        if (known?.term === state.term && known.version === state.version) {
            this.placement = state.isPartial ? { ...known, etas: state.etas } : state;
            return;
        }
        this.placement = state.isPartial && known !== undefined ? merge(known, state) : state;
        for (const server of this.servers.values()) this.placeOne(server);
        this.notify();
    }

    /** Takes over how many requests of other gateways are in progress at each engine. */
    recordTotals(totals: readonly EngineTotal[], own: readonly RunningDemand[]): void {
        const now = nowMs();
        const counts = new Map(totals.map(({ serverId, count }) => [serverId, count]));
        for (const { serverId, count } of own) counts.set(serverId, (counts.get(serverId) ?? 0) - count);
        for (const [serverId, server] of this.servers) server.recordOthers(Math.max(0, counts.get(serverId) ?? 0), now);
    }

    /** Falls back to the servers' own records once the placement state is too old. */
    expirePlacement(): void {
        if (this.placement === undefined || nowMs() - this.placementAtMs < PLACEMENT_VALID_MS) return;
        this.placement = undefined;
        for (const server of this.servers.values()) server.place(undefined);
        this.notify();
    }

    /** Expected time until the model can serve; undefined when nobody knows. */
    etaMs(modelId: ModelId): number | undefined {
        const readyInMs = this.placement?.etas.find(eta => eta.modelId === modelId)?.readyInMs;
        return readyInMs === undefined ? undefined : Math.max(0, readyInMs - (nowMs() - this.placementAtMs));
    }

    get hasPlacement(): boolean {
        return this.placement !== undefined;
    }

    /** Servers of a service that may get new work. */
    open(serviceId: ServiceId): ServerState[] {
        const found: ServerState[] = [];
        for (const server of this.servers.values()) {
            if (server.record.serviceId === serviceId && !server.record.draining) found.push(server);
        }
        return found;
    }

    /** Open servers that hold the model and the adapter. */
    holders(serviceId: ServiceId, modelId: ModelId, adapterId: AdapterId | undefined): ServerState[] {
        const now = nowMs();
        return this.open(serviceId).filter(server => server.holds(modelId, adapterId, now));
    }

    private placeOne(server: ServerState): void {
        const engine = this.placement?.engines.find(placed =>
            placed.serverId === server.record.serverId && placed.bornAtMs === server.record.bornAtMs
        );
        server.place(engine?.models);
    }

    private notify(): void {
        for (const listener of this.listeners) listener();
    }
}

/** Adds changes to what is known of the placement. */
function merge(known: PlacementState, changes: PlacementState): PlacementState {
    const replaced = new Set([...changes.removed, ...changes.engines.map(engine => engine.serverId)]);
    const kept = known.engines.filter(engine => !replaced.has(engine.serverId));
    return { ...changes, engines: [...kept, ...changes.engines] };
}

/** Score of a server whose slots are all taken; the other scores are relative to it. */
const LOAD_SCORE = 32;
/** Another data centre costs two link delays, about one more request's worth of load. */
const DISTANCE_SCORE = 1;
/** A server that fails every request ranks behind a full one. */
const FAILURE_SCORE = 40;
/** A server that just refused for want of room, or can't be reached, ranks behind all others. */
const FULL_SCORE = 500;
const SUSPECT_SCORE = 1_000;

/** Orders servers for a request; the first is the best. */
export function rankServers(servers: readonly ServerState[], dataCentre: DataCentre, now: number): ServerState[] {
    const score = (server: ServerState): number => {
        const distance = server.record.dataCentre === dataCentre ? 0 : DISTANCE_SCORE;
        const penalty = (server.isSuspect(now) ? SUSPECT_SCORE : 0) + (server.isFull(now) ? FULL_SCORE : 0);
        const slots = Math.max(1, server.record.slotCount);
        return penalty + server.failureShare * FAILURE_SCORE + LOAD_SCORE * server.expectedCount(now) / slots
            + distance;
    };
    return servers
        .map(server => ({ server, score: score(server) + Math.random() / 2 }))
        .sort((a, b) => a.score - b.score)
        .map(entry => entry.server);
}
