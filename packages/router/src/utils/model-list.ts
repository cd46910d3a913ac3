import type { ConfigView } from "@skylarkmill/config";

interface ListedModel {
    readonly id: string;
    readonly object: "model";
    readonly created: 0;
    readonly owned_by: string;
    /** Base model; present on adapters only. */
    readonly parent?: string;
}

/**
 * Lists models and their adapters in the response format of `/v1/models`.
 *
 * @example
 * listModels(config).data.map(model => model.id);
 */
export function listModels(config: ConfigView): { readonly object: "list"; readonly data: readonly ListedModel[]; } {
    const data: ListedModel[] = [];
    for (const { modelId, serviceId } of config.models().values()) {
        data.push({ id: modelId, object: "model", created: 0, owned_by: serviceId });
    }
    for (const { adapterId, modelId, serviceId } of config.adapters().values()) {
        const id = config.model(adapterId as string as typeof modelId) === undefined
            ? adapterId
            : `${modelId}:${adapterId}`;
        data.push({ id, object: "model", created: 0, owned_by: serviceId, parent: modelId });
    }
    return { object: "list", data };
}
