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
 * Removes this server's revoking grants by compare-and-swap, after the model left memory.
 * A model with a revoking grant is never loaded, so the removal stays right while it is repeated.
 */
export class GrantRemover {
    private readonly removing = new Set<ModelId>();
    private readonly abort = new AbortController();

    constructor(private readonly options: GrantRemoverOptions) {}

    stop(): void {
        this.abort.abort();
    }

    remove(modelId: ModelId): void {
        if (this.removing.has(modelId)) return;
        this.removing.add(modelId);
        void this.run(modelId).finally(() => this.removing.delete(modelId));
    }

    private async run(modelId: ModelId): Promise<void> {
        const { records, logger } = this.options;
        for (let failureCount = 0; !this.abort.signal.aborted;) {
            const change = this.createChange(modelId);
            if (change === undefined) return;
            const written = await records.write(change);
            if (written.isOk()) {
                logger.info({ step: "grant.remove", model: modelId, version: written.value.version }, "grant removed");
                return;
            }
            failureCount += 1;
            logger.warn(
                { step: "grant.remove", peer: written.error.peer, model: modelId, err: written.error },
                "grant is not removed yet",
            );
            await sleep(backoffMs(failureCount, this.options.retryMinMs, this.options.retryMaxMs), this.abort.signal);
            if (written.error instanceof ConflictError) await records.refresh();
        }
    }

    private createChange(modelId: ModelId) {
        const record = this.options.records.get<GrantRecord>(KEYS.grants(modelId));
        const own = record?.value?.grants.find(grant => grant.serverId === this.options.serverId);
        if (record?.value === undefined || own?.revoking !== true) return undefined;
        const value: GrantRecord = {
            ...record.value,
            grants: record.value.grants.filter(grant => grant.grantId !== own.grantId),
        };
        return createGrantChange(record, modelId, value, this.options.serverId, ["the model left memory"]);
    }
}
