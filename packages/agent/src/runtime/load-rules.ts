import type { ModelId, Refusal } from "@skylarkmill/protocol";
import type { Catalog } from "../utils/catalog.ts";
import { REFUSALS } from "../utils/refusals.ts";
import type { MemoryLedger } from "./memory-ledger.ts";
import type { Replica, UnloadCause } from "./replica.ts";

/** Decides which models may be loaded, served and kept, according to grants, configuration and agent state. */
export class LoadRules {
    private areOrdersAllowed = false;
    private isDraining = false;
    private isEngineReachable = true;

    constructor(private readonly catalog: Catalog, private readonly ledger: MemoryLedger) {}

    /** Whether orders may be sent: the start-up is complete and the records are up to date. */
    get allowsOrders(): boolean {
        return this.areOrdersAllowed;
    }

    get acceptsLoads(): boolean {
        return this.areOrdersAllowed && !this.isDraining;
    }

    allowOrders(allowed: boolean): void {
        this.areOrdersAllowed = allowed;
    }

    setDraining(draining: boolean): void {
        this.isDraining = draining;
    }

    setEngineReachable(reachable: boolean): void {
        this.isEngineReachable = reachable;
    }

    /** Returns the refusal when a loaded model may not serve requests, or undefined. */
    findUseRefusal(modelId: ModelId): Refusal | undefined {
        if (this.catalog.service() === undefined) return REFUSALS.notReady();
        if (this.catalog.model(modelId) === undefined) return REFUSALS.modelNotOffered();
        const ownGrant = this.catalog.ownGrant(modelId);
        return ownGrant === undefined || ownGrant.grant.revoking ? REFUSALS.noGrant() : undefined;
    }

    /** Returns the refusal when the model may not be loaded, or undefined. */
    findLoadRefusal(modelId: ModelId): Refusal | undefined {
        const useRefusal = this.findUseRefusal(modelId);
        if (useRefusal !== undefined) return useRefusal;
        const position = this.catalog.ownGrant(modelId)?.position ?? 0;
        const model = this.catalog.model(modelId);
        if (model === undefined || position >= model.maxReplicas) return REFUSALS.noGrant();
        if (!this.acceptsLoads) return REFUSALS.notReady();
        if (!this.isEngineReachable) return REFUSALS.backendUnavailable();
        return model.memoryBytes > this.ledger.sizeBytes ? REFUSALS.modelTooLarge() : undefined;
    }

    /** Returns why a loaded model must be unloaded, or undefined. */
    requiredUnloadCause(replica: Replica): UnloadCause | undefined {
        const ownGrant = this.catalog.ownGrant(replica.modelId);
        if (ownGrant === undefined || ownGrant.grant.revoking) return "no_grant";
        if (this.catalog.service() === undefined) return undefined;
        const model = this.catalog.model(replica.modelId);
        if (model === undefined) return "not_offered";
        return model.version === replica.version ? undefined : "version";
    }
}
