import type { ServerId } from "@skylarkmill/protocol";
import type { EngineProfile } from "../types/configuration.ts";
import type { ServerStart } from "../types/engine.ts";
import type { AdapterTarget, EngineCommand, EngineState } from "../types/placement.ts";
import type { ArrivalRateTracker } from "./arrival-rate-tracker.ts";
import type { ClusterDemandTracker, ReportedEngine } from "./cluster-demand-tracker.ts";
import type { RecentCommands } from "./recent-commands.ts";
import type { ServerDirectory } from "./server-directory.ts";
import { formatTargetKey } from "./server-state.ts";

/** Adapters that were used more recently than this are not evicted. */
const MIN_IDLE_MS = 50;

export interface AdapterPlannerOptions {
    readonly directory: ServerDirectory;
    readonly demand: ClusterDemandTracker;
    readonly arrivalRates: ArrivalRateTracker;
    readonly commands: RecentCommands;
    /** Requests per second that an engine takes; undefined if it states no rate. */
    readonly getServerRate: (server: ServerStart) => number | undefined;
    readonly sendCommand: (address: string, command: EngineCommand) => void;
}

interface EvictionVictim extends AdapterTarget {
    readonly idleMs: number;
}

/** Places adapters that requests wait for on engines that have the adapter's model loaded. */
export class AdapterPlanner {
    private readonly options: AdapterPlannerOptions;
    private readonly adapterPlacedAtMs = new Map<string, number>();

    constructor(options: AdapterPlannerOptions) {
        this.options = options;
    }

    plan(profile: EngineProfile, enginesById: ReadonlyMap<ServerId, ReportedEngine>, now: number): void {
        const { demand } = this.options;
        const running = demand.runningCountsByEngine;
        for (const target of demand.listWaitingAdapters()) {
            const isConfigured = profile.models.get(target.modelId)?.adapterIds.includes(target.adapterId) === true;
            if (isConfigured) this.placeAdapter(profile, target, enginesById, running, now);
        }
    }

    private placeAdapter(
        profile: EngineProfile,
        target: AdapterTarget,
        enginesById: ReadonlyMap<ServerId, ReportedEngine>,
        running: ReadonlyMap<string, number>,
        now: number,
    ): void {
        const { commands, sendCommand } = this.options;
        const enginesWithModel = [...enginesById.values()].filter(({ state }) =>
            state.models.some(model => model.modelId === target.modelId && !model.leaving)
            && this.isAvailable(state, now)
        );
        if (enginesWithModel.some(({ state }) => this.isLoadedOrLoading(state, target, now))) return;
        const candidates = enginesWithModel.filter(({ state }) => state.idle && !commands.has(state.serverId, now)).map(
            engine => ({
                engine,
                count: countAdapters(engine.state),
                victim: this.findVictim(engine.state, running, now),
            }),
        ).filter(({ count, victim }) => count < profile.maxAdapters || victim !== undefined);
        candidates.sort((a, b) => a.count - b.count || (b.victim?.idleMs ?? 0) - (a.victim?.idleMs ?? 0));
        const [best] = candidates;
        if (best === undefined) return;
        const { serverId } = best.engine.state;
        const unload = best.count < profile.maxAdapters ? undefined : best.victim;
        const key = formatPlacementKey(serverId, target);
        commands.record(key, now);
        this.adapterPlacedAtMs.set(key, now);
        sendCommand(best.engine.address, { kind: "adapter", serverId, load: target, unload });
    }

    /** Whether the engine has the adapter loaded, is loading it, or was just sent a command to load it. */
    private isLoadedOrLoading(state: EngineState, target: AdapterTarget, now: number): boolean {
        return state.coming.includes(formatTargetKey(target.modelId, target.adapterId))
            || this.options.commands.has(formatPlacementKey(state.serverId, target), now)
            || state.models.some(model =>
                model.modelId === target.modelId && model.adapterIds.includes(target.adapterId)
            );
    }

    /** Whether the engine is listed, takes orders, and is neither draining nor suspected to be unreachable. */
    private isAvailable(state: EngineState, now: number): boolean {
        const server = this.options.directory.get(state.serverId);
        return server !== undefined && !server.record.draining && !server.isSuspect(now)
            && this.options.getServerRate(server.record) === undefined;
    }

    /** Finds the idle adapter that was unused for the longest time. */
    private findVictim(
        state: EngineState,
        running: ReadonlyMap<string, number>,
        now: number,
    ): EvictionVictim | undefined {
        let best: EvictionVictim | undefined;
        for (const { modelId, adapterIds } of state.models) {
            for (const adapterId of adapterIds) {
                const key = formatPlacementKey(state.serverId, { modelId, adapterId });
                if ((running.get(key) ?? 0) > 0) continue;
                const sincePlacedMs = now - (this.adapterPlacedAtMs.get(key) ?? -Infinity);
                const idleMs = Math.min(
                    sincePlacedMs,
                    this.options.arrivalRates.idleMs(formatTargetKey(modelId, adapterId), now),
                );
                if (idleMs >= MIN_IDLE_MS && idleMs > (best?.idleMs ?? 0)) best = { modelId, adapterId, idleMs };
            }
        }
        return best;
    }
}

function formatPlacementKey(serverId: ServerId, { modelId, adapterId }: AdapterTarget): string {
    return `${serverId} ${formatTargetKey(modelId, adapterId)}`;
}

function countAdapters(state: EngineState): number {
    return state.coming.length + state.models.reduce((sum, model) => sum + model.adapterIds.length, 0);
}
