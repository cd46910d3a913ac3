import type { InputFault, InvalidInputError, SectionName } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { ConfigSection } from "../types/document.ts";
import { invalidConfig } from "./parse-section.ts";

/**
 * Largest encoded section. The key-value service holds values up to 1 MB;
 * 4 kB are left for the record's version, nonce and edit id.
 */
export const MAX_SECTION_BYTES = 996_000;

interface Named {
    readonly id: string;
    readonly path: string;
    readonly kind: "service" | "model" | "adapter";
}

function* namesOf(sectionName: string, section: ConfigSection): Iterable<Named> {
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

function checkSize(name: string, section: ConfigSection): InputFault[] {
    const sizeBytes = Buffer.byteLength(JSON.stringify(section));
    if (sizeBytes <= MAX_SECTION_BYTES) return [];
    return [{
        path: `sections.${name}`,
        message: `takes ${sizeBytes} bytes; at most ${MAX_SECTION_BYTES} fit, move services to another section`,
    }];
}

/** Models and adapters share one name space, since a caller may name an adapter alone. */
function spaceOf(named: Named): string {
    return named.kind === "service" ? `service ${named.id}` : `model ${named.id}`;
}

/**
 * Names every fault between sections: a service in two sections, a model or adapter id used twice,
 * limits set twice, a section that is too large.
 *
 * @example
 * const faults = documentFaults(sections);
 */
export function documentFaults(sections: ReadonlyMap<SectionName, ConfigSection>): readonly InputFault[] {
    const faults: InputFault[] = [];
    const firstPath = new Map<string, string>();
    let limitsPath: string | undefined;
    for (const [name, section] of sections) {
        faults.push(...checkSize(name, section));
        if (section.limits !== undefined) {
            const path = `sections.${name}.limits`;
            if (limitsPath !== undefined) faults.push({ path, message: `already set at ${limitsPath}` });
            limitsPath ??= path;
        }
        for (const named of namesOf(name, section)) {
            const space = spaceOf(named);
            const first = firstPath.get(space);
            if (first === undefined) firstPath.set(space, named.path);
            else faults.push({ path: named.path, message: `${named.kind} ${named.id} already stands at ${first}` });
        }
    }
    return faults;
}

/**
 * Checks the rules between sections; fails with every fault at once.
 *
 * @example
 * checkDocument(new Map([[toId<SectionName>("parts"), section]]));
 */
export function checkDocument(sections: ReadonlyMap<SectionName, ConfigSection>): Result<void, InvalidInputError> {
    const faults = documentFaults(sections);
    return faults.length === 0 ? ok(undefined) : err(invalidConfig(faults, "config.check"));
}
