import { type Logger, nowMs } from "@skylarkmill/coordination";
import type { ServerId } from "@skylarkmill/protocol";
import type { EngineProfile, GatewayConfiguration, ModelSpec } from "../types/configuration.ts";
import type { EngineClient, ServerRecord } from "../types/engine.ts";
import type { EngineCommand, EngineState } from "../types/placement.ts";
import { EngineController } from "./engine-controller.ts";
import type { GatewayMetrics } from "./gateway-metrics.ts";
import type { OrderRights } from "./order-rights.ts";
import type { ServerDirectory } from "./server-directory.ts";
import type { ServerRates } from "./server-rates.ts";

/** Interval at which controllers are matched with the held order rights and the known engines. */
const SYNC_INTERVAL_MS = 100;

export interface EngineCommandRunnerOptions {
    readonly orderRights: OrderRights;
    readonly engineClient: EngineClient;
    readonly directory: ServerDirectory;
    readonly serverRates: Pick<ServerRates, "acquireCallMs" | "cancelWait">;
    readonly logger: Logger;
    readonly metrics: GatewayMetrics;
    /** Name of this host, sent with each order. */
    readonly host: string;
    readonly getConfiguration: () => GatewayConfiguration | undefined;
    /** Called after each change of an engine's state. */
    readonly onChange: () => void;
}

/** Runs the planner's commands on the engines whose order rights this host holds. */
export class EngineCommandRunner {
    private readonly options: EngineCommandRunnerOptions;
    private readonly controllers = new Map<ServerId, EngineController>();
    private timer: NodeJS.Timeout | undefined;

    constructor(options: EngineCommandRunnerOptions) {
        this.options = options;
    }

    start(): void {
        this.timer = setInterval(() => this.syncControllers(), SYNC_INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.timer);
        for (const controller of this.controllers.values()) this.stopController(controller);
        this.controllers.clear();
    }

    listEngineStates(): EngineState[] {
        const now = nowMs();
        return [...this.controllers.values()].map(controller => controller.toState(now));
    }

    /** Starts a command if the engine's state allows it; the planner sees the effect in the reported engine state. */
    runCommand(command: EngineCommand): void {
        const controller = this.controllers.get(command.serverId);
        const profile = this.findProfile(controller?.record);
        if (controller === undefined || profile === undefined || !controller.isIdle) return;
        if (command.kind === "adapter") return this.runAdapterCommand(controller, profile, command);
        const model = profile.models.get(command.load);
        if (model === undefined || !this.hasMemoryFor(controller, profile, model, command.unload)) return;
        const { load, unload, origin } = command;
        this.options.logger.info(
            { step: "engine.command", server: command.serverId, load, unload, origin },
            "model command accepted",
        );
        void controller.runModelJob({ load, unload, origin, expectedMs: selectLoadMs(origin, model) });
    }

    private runAdapterCommand(
        controller: EngineController,
        profile: EngineProfile,
        command: EngineCommand & { kind: "adapter"; },
    ): void {
        const { load, unload } = command;
        const loadedModel = controller.models.get(load.modelId);
        if (loadedModel === undefined || loadedModel.adapters.has(load.adapterId) || !controller.canLoadAdapter) return;
        if (controller.pendingAdapters.has(`${load.modelId}/${load.adapterId}`)) return;
        const canRemove = unload !== undefined
            && controller.models.get(unload.modelId)?.adapters.has(unload.adapterId) === true;
        if (controller.countAdapters() - (canRemove ? 1 : 0) >= profile.maxAdapters) return;
        void controller.loadAdapter(load.modelId, load.adapterId, canRemove ? unload : undefined);
    }

    /** Whether the weights fit into memory beside the models that stay and the largest number of adapters. */
    private hasMemoryFor(
        controller: EngineController,
        profile: EngineProfile,
        model: ModelSpec,
        unload: string | undefined,
    ): boolean {
        if (controller.models.has(model.modelId)) return false;
        const adapterMb = profile.maxAdapters
            * Math.max(0, ...[...profile.models.values()].map(spec => spec.adapterSizeMb));
        let usedMb = adapterMb + model.sizeMb;
        for (const modelId of controller.models.keys()) {
            if (modelId !== unload) usedMb += profile.models.get(modelId)?.sizeMb ?? profile.memoryMb;
        }
        return usedMb <= profile.memoryMb;
    }

    /** Creates and removes controllers as order rights change and engines start, drain or restart. */
    private syncControllers(): void {
        const { orderRights, directory } = this.options;
        const held = new Set(orderRights.listHeldEngines());
        for (const [serverId, controller] of this.controllers) {
            const record = directory.get(serverId)?.record;
            if (held.has(serverId) && record?.bornAtMs === controller.record.bornAtMs && !record.draining) continue;
            this.stopController(controller);
            this.controllers.delete(serverId);
            this.options.onChange();
        }
        for (const serverId of held) {
            const record = directory.get(serverId)?.record;
            if (record === undefined || record.draining || this.controllers.has(serverId)) continue;
            const controller = this.createController(record);
            this.controllers.set(serverId, controller);
            void controller.syncState();
        }
    }

    private stopController(controller: EngineController): void {
        controller.stop();
        this.options.serverRates.cancelWait(controller.record, controller.record);
    }

    private createController(record: ServerRecord): EngineController {
        const { engineClient, orderRights, directory, serverRates, host, logger, metrics, onChange } = this.options;
        // Orders and reports wait for a hold's end, and then for their place in the server's rate.
        const getDelayMs = (): number => {
            const holdMs = directory.get(record.serverId)?.holdMs(nowMs()) ?? 0;
            return holdMs > 0 ? holdMs : serverRates.acquireCallMs(record, record);
        };
        return new EngineController(record, {
            engineClient,
            host,
            logger,
            getFencingToken: () => orderRights.getFencingToken(record.serverId),
            getHoldMs: getDelayMs,
            onFenced: () => orderRights.dropRight(record.serverId, "the engine saw a higher fencing token"),
            onChange,
            onOrder: (kind, outcome) => metrics.orders.inc({ kind, outcome }),
        });
    }

    private findProfile(record: ServerRecord | undefined): EngineProfile | undefined {
        return record === undefined
            ? undefined
            : this.options.getConfiguration()?.services.get(record.serviceId)?.engine;
    }
}

function selectLoadMs(origin: "memory" | "disk" | "store", model: ModelSpec): number {
    if (origin === "memory") return model.memoryLoadMs;
    return origin === "disk" ? model.diskLoadMs : model.storeLoadMs;
}
