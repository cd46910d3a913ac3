import type { ModelId, ServerId } from "@skylarkmill/protocol";
import type { AdapterTarget, DemandMessage, EngineRequestTotal, EngineState } from "../types/placement.ts";
import { formatTargetKey } from "./server-state.ts";

/** Time for which a gateway's demand message is valid. */
const DEMAND_VALID_MS = 1_500;

/** An engine's state and the peer address of the gateway that sends orders to it. */
export interface ReportedEngine {
    readonly state: EngineState;
    readonly address: string;
}

/** Number and longest wait of the requests that wait for a model. */
export interface WaitingSummary {
    readonly count: number;
    readonly oldestMs: number;
}

/** Tracks the latest demand message of each gateway; sums are updated by message, not computed from all messages. */
export class ClusterDemandTracker {
    private readonly messagesByGateway = new Map<string, { message: DemandMessage; atMs: number; }>();
    private readonly enginesById = new Map<ServerId, ReportedEngine & { readonly gateway: string; }>();
    private readonly runningByEngineTarget = new Map<string, number>();
    private readonly runningByModel = new Map<ModelId, number>();
    private readonly runningByServer = new Map<ServerId, number>();

    get gatewayCount(): number {
        return this.messagesByGateway.size;
    }

    recordMessage(message: DemandMessage, now: number): void {
        const previous = this.messagesByGateway.get(message.gateway)?.message;
        const engines = message.engines ?? previous?.engines;
        if (previous !== undefined) this.addRunning(previous, -1);
        this.addRunning(message, 1);
        if (message.engines !== undefined) this.replaceEngines(message, message.engines);
        this.messagesByGateway.set(message.gateway, { message: { ...message, engines }, atMs: now });
    }

    /** Forgets gateways that have sent no message for too long. */
    expireMessages(now: number): void {
        for (const [gateway, { message, atMs }] of this.messagesByGateway) {
            if (now - atMs <= DEMAND_VALID_MS) continue;
            this.addRunning(message, -1);
            this.replaceEngines(message, []);
            this.messagesByGateway.delete(gateway);
        }
    }

    /** Lists the engines that gateways report, by id. */
    listEngines(): ReadonlyMap<ServerId, ReportedEngine> {
        return this.enginesById;
    }

    /** Number of requests in progress by engine and model, and by engine and adapter. */
    get runningCountsByEngine(): ReadonlyMap<string, number> {
        return this.runningByEngineTarget;
    }

    get runningCountsByModel(): ReadonlyMap<ModelId, number> {
        return this.runningByModel;
    }

    summarizeWaitingByModel(): Map<ModelId, WaitingSummary> {
        const waiting = new Map<ModelId, WaitingSummary>();
        for (const { message } of this.messagesByGateway.values()) {
            for (const { modelId, count, oldestWaitMs } of message.waiting) {
                const summary = waiting.get(modelId) ?? { count: 0, oldestMs: 0 };
                const oldestMs = Math.max(summary.oldestMs, oldestWaitMs);
                waiting.set(modelId, { count: summary.count + count, oldestMs });
            }
        }
        return waiting;
    }

    /** Lists the adapters that requests wait for. */
    listWaitingAdapters(): AdapterTarget[] {
        const wanted = new Map<string, AdapterTarget>();
        for (const { message } of this.messagesByGateway.values()) {
            for (const { modelId, adapterId } of message.waiting) {
                if (adapterId !== undefined) wanted.set(formatTargetKey(modelId, adapterId), { modelId, adapterId });
            }
        }
        return [...wanted.values()];
    }

    /** Whether requests of a gateway wait for a model or one of its adapters. */
    isWaitingFor(gateway: string, modelId: ModelId): boolean {
        const waiting = this.messagesByGateway.get(gateway)?.message.waiting;
        return waiting !== undefined && waiting.some(entry => entry.modelId === modelId);
    }

    /** Counts the requests of all gateways in progress at each engine. */
    countRunningTotals(): EngineRequestTotal[] {
        return [...this.runningByServer].map(([serverId, count]) => ({ serverId, count }));
    }

    private addRunning({ running }: DemandMessage, sign: 1 | -1): void {
        for (const { serverId, modelId, adapterId, count } of running) {
            const change = sign * count;
            addCount(this.runningByServer, serverId, change);
            addCount(this.runningByModel, modelId, change);
            addCount(this.runningByEngineTarget, `${serverId} ${modelId}`, change);
            if (adapterId !== undefined) {
                addCount(this.runningByEngineTarget, `${serverId} ${formatTargetKey(modelId, adapterId)}`, change);
            }
        }
    }

    /** Replaces the engines that a gateway reported; another gateway may have taken over some of them meanwhile. */
    private replaceEngines({ gateway, address }: DemandMessage, engines: readonly EngineState[]): void {
        for (const { serverId } of this.messagesByGateway.get(gateway)?.message.engines ?? []) {
            if (this.enginesById.get(serverId)?.gateway === gateway) this.enginesById.delete(serverId);
        }
        for (const state of engines) this.enginesById.set(state.serverId, { state, address, gateway });
    }
}

function addCount<K>(counts: Map<K, number>, key: K, change: number): void {
    const count = (counts.get(key) ?? 0) + change;
    if (count === 0) counts.delete(key);
    else counts.set(key, count);
}
