import { nowMs } from "@skylarkmill/coordination";
import type { ServiceId } from "@skylarkmill/protocol";
import type { GatewayContext } from "../../types/context.ts";
import type { CallerRequest } from "../../types/engine.ts";
import type { OrderedRequest } from "../fair-order.ts";

export interface PlaceWaitOptions {
    readonly serviceId: ServiceId;
    readonly request: CallerRequest;
    readonly arrivedAtMs: number;
    readonly priority: number;
    /** Searches for a place for the request. */
    readonly search: () => void;
}

/** Waits for a place in the order that is fair to workspaces, on behalf of one request; has no effect without workspaces. */
export class PlaceWait {
    private readonly entry: OrderedRequest;

    constructor(
        private readonly context: Pick<GatewayContext, "fairOrder" | "workspaces" | "metrics">,
        { serviceId, request, arrivedAtMs, priority, search }: PlaceWaitOptions,
    ) {
        const { modelId, workspaceId, promptTokenCount, maxOutputTokenCount } = request;
        const cost = Math.max(1, promptTokenCount + maxOutputTokenCount);
        this.entry = { serviceId, modelId, workspaceId, priority, arrivedAtMs, cost, search };
    }

    /** Whether others go first or wait for the same servers, so that the request may not search for one now. */
    mustQueue(): boolean {
        const { workspaces, fairOrder } = this.context;
        if (!workspaces.hasWorkspaces || !fairOrder.mustQueue(this.entry)) return false;
        fairOrder.schedulePass();
        return true;
    }

    enter(): void {
        const { workspaces, fairOrder, metrics } = this.context;
        if (!workspaces.hasWorkspaces) return;
        fairOrder.enter(this.entry, nowMs());
        metrics.waitingForPlaces.set(fairOrder.waitingCount);
    }

    leave(): void {
        const { fairOrder, metrics } = this.context;
        if (fairOrder.leave(this.entry)) metrics.waitingForPlaces.set(fairOrder.waitingCount);
    }

    recordSend(): void {
        if (this.context.workspaces.hasWorkspaces) this.context.fairOrder.recordSend(this.entry, nowMs());
    }

    /** Number of places beyond a server's limit that the request may take. */
    countExtraPlaces(): number {
        return this.context.fairOrder.countExtraPlaces(this.entry);
    }

    /** Time until the request has its turn; undefined if it waits for something else, or if that is not known yet. */
    etaMs(): number | undefined {
        return this.context.fairOrder.etaMs(this.entry, nowMs());
    }
}
