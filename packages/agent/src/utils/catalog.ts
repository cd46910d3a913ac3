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

/** This server's right to one model. `position` counts the non-revoking grants before its own. */
export interface OwnGrant {
    readonly grant: Grant;
    readonly position: number;
}

/** The records in force, as one backend server's agent reads them. */
export interface Catalog {
    service(): ServiceConfig | undefined;
    /** A model of this service. */
    model(modelId: ModelId): ModelConfig | undefined;
    requestClass(name: string | undefined): ResolvedRequestClass;
    limits(): LimitsConfig;
    problems(): readonly string[];
    ownGrant(modelId: ModelId): OwnGrant | undefined;
    /** Models for which this server holds a grant, revoking ones included. */
    grantedModels(): readonly ModelId[];
}

export interface FollowedCatalog extends Catalog {
    close(): void;
}

/**
 * Reads configuration and grants from the records of this process and follows their changes.
 *
 * @example
 * const catalog = createCatalog(records, serverId, serviceId, () => mailbox.post({ kind: "records" }));
 * catalog.ownGrant(modelId)?.position; // 0 for the first grant
 */
export function createCatalog(
    records: RecordReader,
    serverId: ServerId,
    serviceId: ServiceId,
    onChange: () => void,
): FollowedCatalog {
    const view = createConfigView(records);
    const grants = new Map<ModelId, OwnGrant>();
    const readGrant = (value: GrantRecord | undefined, modelId: ModelId): void => {
        const own = findOwnGrant(value, serverId);
        if (own === undefined) grants.delete(modelId);
        else grants.set(modelId, own);
    };
    for (const { key, value } of records.list<GrantRecord>(KEYS.grantsPrefix)) readGrant(value, modelOf(key));
    const unsubscribe = [
        view.subscribe(onChange),
        records.subscribe(KEYS.grantsPrefix, record => {
            readGrant(record.value as GrantRecord | undefined, modelOf(record.key));
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
            for (const end of unsubscribe) end();
            view.close();
        },
    };
}

function modelOf(key: string): ModelId {
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
