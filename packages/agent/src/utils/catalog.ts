import {
    createConfigView,
    type Grant,
    type GrantRecord,
    KEYS,
    type LimitsConfig,
    type ModelConfig,
    type ResolvedRequestClass,
    type ServiceConfig,
} from "@skylarkmill/config";
import type { RecordReader } from "@skylarkmill/coordination";
import type { ModelId, ServerId, ServiceId } from "@skylarkmill/protocol";

/** This server's grant for one model. `position` is the number of non-revoking grants before it. */
export interface OwnGrant {
    readonly grant: Grant;
    readonly position: number;
}

/** Configuration and grants that are in force for one backend server. */
export interface Catalog {
    service(): ServiceConfig | undefined;
    /** A model of this service. */
    model(modelId: ModelId): ModelConfig | undefined;
    requestClass(name: string | undefined): ResolvedRequestClass;
    limits(): LimitsConfig;
    problems(): readonly string[];
    ownGrant(modelId: ModelId): OwnGrant | undefined;
    /** Models for which this server holds a grant, including revoking grants. */
    grantedModels(): readonly ModelId[];
}

export interface SubscribedCatalog extends Catalog {
    close(): void;
}

/**
 * Reads configuration and grants from the records of this process and follows their changes.
 *
 * @example
 * const catalog = createCatalog(records, serverId, serviceId, () => mailbox.post({ kind: "wake" }));
 * catalog.ownGrant(modelId)?.position; // 0 for the first grant
 */
export function createCatalog(
    records: RecordReader,
    serverId: ServerId,
    serviceId: ServiceId,
    onChange: () => void,
): SubscribedCatalog {
    const view = createConfigView(records);
    const grants = new Map<ModelId, OwnGrant>();
    const updateGrant = (value: GrantRecord | undefined, modelId: ModelId): void => {
        const ownGrant = findOwnGrant(value, serverId);
        if (ownGrant === undefined) grants.delete(modelId);
        else grants.set(modelId, ownGrant);
    };
    for (const { key, value } of records.list<GrantRecord>(KEYS.grantsPrefix)) updateGrant(value, modelIdFromKey(key));
    const unsubscribers = [
        view.subscribe(onChange),
        records.subscribe(KEYS.grantsPrefix, record => {
            updateGrant(record.value as GrantRecord | undefined, modelIdFromKey(record.key));
            onChange();
        }),
    ];
    return {
        service: () => view.service(serviceId)?.config,
        model: modelId => {
            const model = view.model(modelId);
            return model?.serviceId === serviceId ? model.config : undefined;
        },
        requestClass: name => view.requestClass(serviceId, name),
        limits: () => view.limits(),
        problems: () => view.problems(),
        ownGrant: modelId => grants.get(modelId),
        grantedModels: () => [...grants.keys()],
        close: () => {
            for (const unsubscribe of unsubscribers) unsubscribe();
            view.close();
        },
    };
}

function modelIdFromKey(key: string): ModelId {
    return key.slice(KEYS.grantsPrefix.length) as ModelId;
}

function findOwnGrant(record: GrantRecord | undefined, serverId: ServerId): OwnGrant | undefined {
    let position = 0;
    for (const grant of record?.grants ?? []) {
        if (grant.serverId === serverId) return { grant, position };
        if (!grant.revoking) position += 1;
    }
    return undefined;
}
