import type { ModelId, ServerId } from "@skylarkmill/protocol";
import type { AdapterTarget, DemandMessage, EngineRequestTotal, EngineState } from "../types/placement.ts";
import { nowMs } from "../utils/clock.ts";
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

/** Tracks the latest demand message of each gateway and aggregates them. */
export class ClusterDemandTracker {
    private readonly messagesByGateway = new Map<string, { message: DemandMessage; atMs: number; }>();

    get gatewayCount(): number {
        return this.messagesByGateway.size;
    }

    recordMessage(message: DemandMessage, now: number): void {
        const engines = message.engines ?? this.messagesByGateway.get(message.gateway)?.message.engines;
        this.messagesByGateway.set(message.gateway, { message: { ...message, engines }, atMs: now });
    }

    /** Lists the engines that gateways report, by id. */
    listEngines(now: number): Map<ServerId, ReportedEngine> {
        const enginesById = new Map<ServerId, ReportedEngine>();
        for (const { engines = [], address } of this.listValidMessages(now)) {
            for (const state of engines) enginesById.set(state.serverId, { state, address });
        }
        return enginesById;
    }

    /** Counts the requests in progress by engine and model, and by engine and adapter. */
    countRunningByEngine(now: number): Map<string, number> {
        const running = new Map<string, number>();
        const add = (key: string, count: number): void => void running.set(key, (running.get(key) ?? 0) + count);
        for (const message of this.listValidMessages(now)) {
            for (const { serverId, modelId, adapterId, count } of message.running) {
                add(`${serverId} ${modelId}`, count);
                if (adapterId !== undefined) add(`${serverId} ${formatTargetKey(modelId, adapterId)}`, count);
            }
        }
        return running;
    }

    countRunningByModel(now: number): Map<ModelId, number> {
        const running = new Map<ModelId, number>();
        for (const message of this.listValidMessages(now)) {
            for (const { modelId, count } of message.running) running.set(modelId, (running.get(modelId) ?? 0) + count);
        }
        return running;
    }

    summarizeWaitingByModel(now: number): Map<ModelId, WaitingSummary> {
        const waiting = new Map<ModelId, WaitingSummary>();
        for (const message of this.listValidMessages(now)) {
            for (const { modelId, count, oldestWaitMs } of message.waiting) {
                const summary = waiting.get(modelId) ?? { count: 0, oldestMs: 0 };
                const oldestMs = Math.max(summary.oldestMs, oldestWaitMs);
                waiting.set(modelId, { count: summary.count + count, oldestMs });
            }
        }
        return waiting;
    }

    /** Lists the adapters that requests wait for. */
    listWaitingAdapters(now: number): AdapterTarget[] {
        const wanted = new Map<string, AdapterTarget>();
        for (const message of this.listValidMessages(now)) {
            for (const { modelId, adapterId } of message.waiting) {
                if (adapterId !== undefined) wanted.set(formatTargetKey(modelId, adapterId), { modelId, adapterId });
            }
        }
        return [...wanted.values()];
    }

    /** Counts the requests of all gateways in progress at each engine. */
    countRunningTotals(): EngineRequestTotal[] {
        const counts = new Map<ServerId, number>();
        for (const message of this.listValidMessages(nowMs())) {
            for (const { serverId, count } of message.running) {
                counts.set(serverId, (counts.get(serverId) ?? 0) + count);
            }
        }
        return [...counts].map(([serverId, count]) => ({ serverId, count }));
    }

    private listValidMessages(now: number): DemandMessage[] {
        const valid: DemandMessage[] = [];
        for (const [gateway, { message, atMs }] of this.messagesByGateway) {
            if (now - atMs > DEMAND_VALID_MS) this.messagesByGateway.delete(gateway);
            else valid.push(message);
        }
        return valid;
    }
}
