import { createGrantChange, type GrantRecord, KEYS } from "@skylarkmill/config";
import { type RecordStore, sleep } from "@skylarkmill/coordination";
import { ConflictError, type ModelId, type ServerId } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import { backoffMs } from "../utils/backoff.ts";

export interface GrantRemoverOptions {
    readonly records: RecordStore;
    readonly serverId: ServerId;
    readonly logger: Logger;
    readonly retryMinMs: number;
    readonly retryMaxMs: number;
}

/**
 * Removes this server's revoking grants by compare-and-swap after the model was unloaded.
 * A model with a revoking grant is never loaded, so a retried removal remains valid.
 */
export class GrantRemover {
    private readonly modelsInProgress = new Set<ModelId>();
    private readonly stopController = new AbortController();

    constructor(private readonly options: GrantRemoverOptions) {}

    stop(): void {
        this.stopController.abort();
    }

    remove(modelId: ModelId): void {
        if (this.modelsInProgress.has(modelId)) return;
        this.modelsInProgress.add(modelId);
        void this.removeWithRetries(modelId).finally(() => this.modelsInProgress.delete(modelId));
    }

    private async removeWithRetries(modelId: ModelId): Promise<void> {
        const { records, logger } = this.options;
        for (let failureCount = 0; !this.stopController.signal.aborted;) {
            const change = this.createRemoval(modelId);
            if (change === undefined) return;
            const written = await records.write(change);
            if (written.isOk()) {
                logger.info({ step: "grant.remove", model: modelId, version: written.value.version }, "grant removed");
                return;
            }
            failureCount += 1;
            logger.warn(
                { step: "grant.remove", peer: written.error.peer, model: modelId, err: written.error },
                "grant could not be removed; retrying",
            );
            await sleep(
                backoffMs(failureCount, this.options.retryMinMs, this.options.retryMaxMs),
                this.stopController.signal,
            );
            if (written.error instanceof ConflictError) await records.refresh();
        }
    }

    private createRemoval(modelId: ModelId) {
        const record = this.options.records.get<GrantRecord>(KEYS.grants(modelId));
        const ownGrant = record?.value?.grants.find(grant => grant.serverId === this.options.serverId);
        if (record?.value === undefined || ownGrant?.revoking !== true) return undefined;
        const value: GrantRecord = {
            ...record.value,
            grants: record.value.grants.filter(grant => grant.grantId !== ownGrant.grantId),
        };
        return createGrantChange(record, modelId, value, this.options.serverId, ["the model left memory"]);
    }
}
