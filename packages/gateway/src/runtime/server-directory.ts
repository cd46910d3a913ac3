import { type Logger, nowMs } from "@skylarkmill/coordination";
import type { AdapterId, ModelId, ServerId, ServiceId } from "@skylarkmill/protocol";
import type { ServerRecord, ServerStart } from "../types/engine.ts";
import type { EngineRequestTotal, ModelEta, PlacedEngine, PlacementState, RunningDemand } from "../types/placement.ts";
import { ServerState } from "./server-state.ts";

/** Placement state older than this is ignored; the servers' own records are used instead. */
const PLACEMENT_VALID_MS = 2_500;

/** Largest number of removed servers that are remembered, as a restored copy may list them again. */
const MAX_REMOVED_SERVERS = 1_000;

/** An estimate is dropped if the model is not ready this long after the estimated time. */
const OVERDUE_ETA_MS = 300;

/** Holds the state of all backend servers that are listed in the key-value service or in a peer's copy of it. */
export class ServerDirectory {
    private readonly servers = new Map<ServerId, ServerState>();
    /** Start times of servers that were seen draining; an older record of the same start can't make them available. */
    private readonly drainingServerStarts = new Map<ServerId, number>();
    /** Start times of servers that stated that they leave, or of which a peer said so. */
    private readonly announcedServerStarts = new Map<ServerId, number>();
    /** Start times of servers that were removed, the latest last. */
    private readonly removedServerStarts = new Map<ServerId, number>();
    /** Times until which servers want nothing from this host, with the starts that asked for it. */
    private readonly holds = new Map<ServerId, { readonly bornAtMs: number; readonly untilMs: number; }>();
    private readonly listeners = new Set<() => void>();
    private placement: { readonly term: number; readonly version: number; } | undefined;
    private readonly placedEngines = new Map<ServerId, PlacedEngine>();
    private readyAtMs = new Map<ModelId, number>();
    private placementAtMs = -Infinity;

    constructor(private readonly logger: Logger) {}

    /** Registers a listener for changes that may let a waiting request be sent. */
    onChange(listener: () => void): void {
        this.listeners.add(listener);
    }

    values(): IterableIterator<ServerState> {
        return this.servers.values();
    }

    get(serverId: ServerId): ServerState | undefined {
        return this.servers.get(serverId);
    }

    /** Adds or updates a server; a server that was seen draining stays draining until its next start. */
    upsert(record: ServerRecord): void {
        const drainingStart = this.drainingServerStarts.get(record.serverId);
        if (record.draining) this.drainingServerStarts.set(record.serverId, record.bornAtMs);
        const draining = record.draining || drainingStart !== undefined && drainingStart >= record.bornAtMs;
        const existing = this.servers.get(record.serverId);
        // The key-value service delivers records in order, but a peer's copy may be older.
        if (existing !== undefined && existing.record.bornAtMs > record.bornAtMs) return;
        const next = { ...record, draining };
        if (existing === undefined) {
            this.removedServerStarts.delete(record.serverId);
            const added = new ServerState(next);
            this.servers.set(record.serverId, added);
            this.applyHoldTo(added);
            this.logger.info(
                { step: "server.join", server: record.serverId, service: record.serviceId, draining },
                "server joined",
            );
            this.applyPlacementTo(added);
        }
        else {
            if (draining && !existing.record.draining) {
                this.logger.info(
                    { step: "server.leave", server: record.serverId, reason: "draining" },
                    "server is draining",
                );
            }
            if (record.bornAtMs !== existing.record.bornAtMs) {
                this.logger.info({ step: "server.restart", server: record.serverId }, "server restarted");
            }
            const isRestarted = record.bornAtMs !== existing.record.bornAtMs;
            existing.update(next);
            // The placement may have named the restarted engine before its record arrived.
            if (isRestarted) this.applyPlacementTo(existing);
        }
        this.notifyListeners();
    }

    /**
     * Records that a server stated that it leaves. It stays draining until its next start, whatever its entry says.
     * Returns whether that was unknown.
     */
    recordLeaving({ serverId, bornAtMs }: ServerStart): boolean {
        const knownStart = this.drainingServerStarts.get(serverId);
        if (knownStart !== undefined && knownStart >= bornAtMs) return false;
        this.drainingServerStarts.set(serverId, bornAtMs);
        this.announcedServerStarts.set(serverId, bornAtMs);
        const server = this.servers.get(serverId);
        if (server === undefined || server.record.bornAtMs > bornAtMs) return true;
        server.update({ ...server.record, draining: true });
        this.logger.info(
            { step: "server.leave", server: serverId, reason: "announced" },
            "server states that it leaves",
        );
        this.notifyListeners();
        return true;
    }

    /** Lists the servers that stated that they leave and are still listed, for the peers. */
    listLeaving(): ServerStart[] {
        const leaving: ServerStart[] = [];
        for (const [serverId, bornAtMs] of this.announcedServerStarts) {
            if (this.servers.get(serverId)?.record.bornAtMs === bornAtMs) leaving.push({ serverId, bornAtMs });
            else this.announcedServerStarts.delete(serverId);
        }
        return leaving;
    }

    /** Records that a server wants nothing from this host for a time; its next start ends that. */
    recordHold({ serverId, bornAtMs }: ServerStart, holdMs: number): void {
        const now = nowMs();
        const untilMs = now + holdMs;
        for (const [id, hold] of this.holds) if (hold.untilMs <= now) this.holds.delete(id);
        const known = this.holds.get(serverId);
        if (known !== undefined && known.bornAtMs > bornAtMs) return;
        if (known?.bornAtMs === bornAtMs && known.untilMs >= untilMs) return;
        this.holds.set(serverId, { bornAtMs, untilMs });
        const server = this.servers.get(serverId);
        if (server !== undefined) this.applyHoldTo(server);
        this.logger.info({ step: "server.hold", server: serverId, holdMs: Math.round(holdMs) }, "server is on hold");
    }

    /** The entry may have been away since the server asked for the hold. */
    private applyHoldTo(server: ServerState): void {
        const { serverId, bornAtMs } = server.record;
        const hold = this.holds.get(serverId);
        if (hold?.bornAtMs === bornAtMs) server.holdUntilMs = hold.untilMs;
    }

    /** Whether this start of the server was listed before and is no longer. */
    wasRemoved({ serverId, bornAtMs }: ServerStart): boolean {
        return this.removedServerStarts.get(serverId) === bornAtMs;
    }

    remove(serverId: ServerId, reason: string): void {
        const server = this.servers.get(serverId);
        if (server === undefined) return;
        this.servers.delete(serverId);
        this.removedServerStarts.set(serverId, server.record.bornAtMs);
        if (this.removedServerStarts.size > MAX_REMOVED_SERVERS) {
            const [oldest] = this.removedServerStarts.keys();
            this.removedServerStarts.delete(oldest!);
        }
        this.logger.info({ step: "server.leave", server: serverId, reason }, "server removed");
        this.notifyListeners();
    }

    /** Applies the planner's placement state to the servers. */
    applyPlacement(state: PlacementState): void {
        const { placement: current, placedEngines } = this;
        if (current !== undefined && state.term < current.term) return;
        this.placementAtMs = nowMs();
        this.readyAtMs = new Map();
        this.addEtas(state.etas);
        this.placement = { term: state.term, version: state.version };
        if (current?.term === state.term && current.version === state.version) return;
        const isPartial = state.isPartial && current !== undefined;
        const changedServerIds = [
            ...(isPartial ? [] : placedEngines.keys()),
            ...state.removed,
            ...state.engines.map(engine => engine.serverId),
        ];
        if (!isPartial) placedEngines.clear();
        for (const serverId of state.removed) placedEngines.delete(serverId);
        for (const engine of state.engines) placedEngines.set(engine.serverId, engine);
        for (const serverId of new Set(changedServerIds)) {
            const server = this.servers.get(serverId);
            if (server !== undefined) this.applyPlacementTo(server);
        }
        this.notifyListeners();
    }

    /** Adds the planner's estimates for models, so that requests which can't be served in time are refused at once. */
    updateEtas(etas: readonly ModelEta[]): void {
        if (etas.length === 0) return;
        this.addEtas(etas);
        this.notifyListeners();
    }

    /** Updates how many requests of other gateways are in progress at each engine. */
    updateTotals(totals: readonly EngineRequestTotal[], own: readonly RunningDemand[]): void {
        const now = nowMs();
        const counts = new Map(totals.map(({ serverId, count }) => [serverId, count]));
        for (const { serverId, count } of own) counts.set(serverId, (counts.get(serverId) ?? 0) - count);
        for (const [serverId, server] of this.servers) {
            server.setPeerRequestCount(Math.max(0, counts.get(serverId) ?? 0), now);
        }
    }

    /** Discards placement state that is too old, so that the servers' own records are used. */
    expirePlacement(): void {
        if (this.placement === undefined || nowMs() - this.placementAtMs < PLACEMENT_VALID_MS) return;
        this.placement = undefined;
        this.placedEngines.clear();
        this.readyAtMs = new Map();
        for (const server of this.servers.values()) server.setPlacedModels(undefined);
        this.notifyListeners();
    }

    /** Expected time until the model can serve requests; undefined without an estimate, or if it was wrong. */
    etaMs(modelId: ModelId): number | undefined {
        const readyAtMs = this.readyAtMs.get(modelId);
        const now = nowMs();
        return readyAtMs === undefined || now - readyAtMs > OVERDUE_ETA_MS ? undefined : Math.max(0, readyAtMs - now);
    }

    get hasPlacement(): boolean {
        return this.placement !== undefined;
    }

    /** Lists the servers of a service that are not draining. */
    listNotDraining(serviceId: ServiceId): ServerState[] {
        const found: ServerState[] = [];
        for (const server of this.servers.values()) {
            if (server.record.serviceId === serviceId && !server.record.draining) found.push(server);
        }
        return found;
    }

    /** Lists the servers of a service that are not draining and have the model and the adapter loaded. */
    listWithModel(serviceId: ServiceId, modelId: ModelId, adapterId: AdapterId | undefined): ServerState[] {
        const now = nowMs();
        return this.listNotDraining(serviceId).filter(server => server.hasModel(modelId, adapterId, now));
    }

    private addEtas(etas: readonly ModelEta[]): void {
        const now = nowMs();
        for (const { modelId, readyInMs } of etas) this.readyAtMs.set(modelId, now + readyInMs);
    }

    private applyPlacementTo(server: ServerState): void {
        const engine = this.placedEngines.get(server.record.serverId);
        server.setPlacedModels(engine?.bornAtMs === server.record.bornAtMs ? engine.models : undefined);
    }

    private notifyListeners(): void {
        for (const listener of this.listeners) listener();
    }
}
