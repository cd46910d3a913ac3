import type { InputFault, InvalidInputError, SectionName } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { ConfigSection } from "../types/document.ts";
import { createInvalidConfigError } from "./parse-section.ts";

/**
 * Maximum size of a section encoded as JSON. The key-value service accepts values up to 1 MB;
 * 4 kB are reserved for the record's version, nonce and edit id.
 */
export const MAX_SECTION_BYTES = 996_000;

interface ConfiguredItem {
    readonly id: string;
    readonly path: string;
    readonly kind: "service" | "model" | "adapter";
}

function* listItems(sectionName: string, section: ConfigSection): Iterable<ConfiguredItem> {
    for (const [serviceId, service] of Object.entries(section.services)) {
        const servicePath = `sections.${sectionName}.services.${serviceId}`;
        yield { id: serviceId, path: servicePath, kind: "service" };
        if (service.kind !== "model") continue;
        for (const [modelId, model] of Object.entries(service.models)) {
            const modelPath = `${servicePath}.models.${modelId}`;
            yield { id: modelId, path: modelPath, kind: "model" };
            for (const [index, adapterId] of model.adapters.entries()) {
                yield { id: adapterId, path: `${modelPath}.adapters.${index}`, kind: "adapter" };
            }
        }
    }
}

function findSizeFaults(name: string, section: ConfigSection): InputFault[] {
    const sizeBytes = Buffer.byteLength(JSON.stringify(section));
    if (sizeBytes <= MAX_SECTION_BYTES) return [];
    return [{
        path: `sections.${name}`,
        message: `takes ${sizeBytes} bytes; at most ${MAX_SECTION_BYTES} fit, move services to another section`,
    }];
}

/** Returns a key for the id. Models and adapters share a namespace, since callers may name an adapter alone. */
function toNamespaceKey(item: ConfiguredItem): string {
    return item.kind === "service" ? `service ${item.id}` : `model ${item.id}`;
}

/**
 * Lists all faults that concern the document as a whole: a service in two sections, a model or adapter id used
 * twice, limits set twice, a section that is too large.
 *
 * @example
 * const faults = findDocumentFaults(sections);
 */
export function findDocumentFaults(sections: ReadonlyMap<SectionName, ConfigSection>): readonly InputFault[] {
    const faults: InputFault[] = [];
    const pathByKey = new Map<string, string>();
    let limitsPath: string | undefined;
    for (const [name, section] of sections) {
        faults.push(...findSizeFaults(name, section));
        if (section.limits !== undefined) {
            const path = `sections.${name}.limits`;
            if (limitsPath !== undefined) faults.push({ path, message: `already set at ${limitsPath}` });
            limitsPath ??= path;
        }
        for (const item of listItems(name, section)) {
            const namespaceKey = toNamespaceKey(item);
            const first = pathByKey.get(namespaceKey);
            if (first === undefined) pathByKey.set(namespaceKey, item.path);
            else faults.push({ path: item.path, message: `${item.kind} ${item.id} already stands at ${first}` });
        }
    }
    return faults;
}

/**
 * Checks the rules that concern the document as a whole; the error lists every fault.
 *
 * @example
 * checkDocument(new Map([[toId<SectionName>("parts"), section]]));
 */
export function checkDocument(sections: ReadonlyMap<SectionName, ConfigSection>): Result<void, InvalidInputError> {
    const faults = findDocumentFaults(sections);
    return faults.length === 0 ? ok(undefined) : err(createInvalidConfigError(faults, "config.check"));
}
