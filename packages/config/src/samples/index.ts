import type { SectionName } from "@skylarkmill/protocol";
import type { ConfigSection } from "../types/document.ts";
import { parseDocument } from "../utils/parse-section.ts";
import association from "./association.json" with { type: "json" };
import depot from "./depot.json" with { type: "json" };
import dev from "./dev.json" with { type: "json" };

const SAMPLES = { association, depot, dev };

export type SampleName = keyof typeof SAMPLES;

/**
 * Returns a sample document. `association` and `depot` are as large as the deployments that they are named after;
 * in `dev` each model needs 1,000,000,000 bytes, so that an engine of 3,000,000,000 bytes can hold three models.
 *
 * @example
 * const sections = sampleDocument("dev");
 */
export function sampleDocument(name: SampleName): ReadonlyMap<SectionName, ConfigSection> {
    return parseDocument(SAMPLES[name])._unsafeUnwrap();
}
