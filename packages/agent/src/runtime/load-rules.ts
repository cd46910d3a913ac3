import type { ModelId, Refusal } from "@skylarkmill/protocol";
import type { Catalog } from "../utils/catalog.ts";
import { REFUSALS } from "../utils/refusals.ts";
import type { MemoryLedger } from "./memory-ledger.ts";
import type { Replica, UnloadCause } from "./replica.ts";

/** What the grants and the configuration in force allow. */
export class LoadRules {
    private mayOrder = false;
    private draining = false;
    private engineReachable = true;

    constructor(private readonly catalog: Catalog, private readonly ledger: MemoryLedger) {}

    /** Orders may go out: the agent has taken stock and its records are up to date. */
    get allowsOrders(): boolean {
        return this.mayOrder;
    }

    get acceptsLoads(): boolean {
        return this.mayOrder && !this.draining;
    }

    allowOrders(allowed: boolean): void {
        this.mayOrder = allowed;
    }

    setDraining(draining: boolean): void {
        this.draining = draining;
    }

    setEngineReachable(reachable: boolean): void {
        this.engineReachable = reachable;
    }

    /** Why a loaded model may not serve, or undefined. */
    blockedUse(modelId: ModelId): Refusal | undefined {
        if (this.catalog.service() === undefined) return REFUSALS.notReady();
        if (this.catalog.model(modelId) === undefined) return REFUSALS.modelNotOffered();
        const own = this.catalog.ownGrant(modelId);
        return own === undefined || own.grant.revoking ? REFUSALS.noGrant() : undefined;
    }

    /** Why no load of the model may start, or undefined. */
    blockedLoad(modelId: ModelId): Refusal | undefined {
        const blocked = this.blockedUse(modelId);
        if (blocked !== undefined) return blocked;
        const position = this.catalog.ownGrant(modelId)?.position ?? 0;
        const model = this.catalog.model(modelId);
        if (model === undefined || position >= model.maxReplicas) return REFUSALS.noGrant();
        if (!this.acceptsLoads) return REFUSALS.notReady();
        if (!this.engineReachable) return REFUSALS.backendUnavailable();
        return model.memoryBytes > this.ledger.sizeBytes ? REFUSALS.modelTooLarge() : undefined;
    }

    /** Why a loaded model must leave memory, or undefined. */
    unloadCause(replica: Replica): UnloadCause | undefined {
        const own = this.catalog.ownGrant(replica.modelId);
        if (own === undefined || own.grant.revoking) return "no_grant";
        if (this.catalog.service() === undefined) return undefined;
        const model = this.catalog.model(replica.modelId);
        if (model === undefined) return "not_offered";
        return model.version === replica.version ? undefined : "version";
    }
}
