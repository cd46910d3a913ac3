import { type InputFault, InvalidInputError, type SectionName, toId } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { ConfigSection } from "../types/document.ts";
import { documentSchema, nameSchema, sectionSchema } from "./section-schema.ts";

const CONTEXT = { step: "config.parse", peer: "local" };

/** Builds the error of invalid configuration; the message names every fault. */
export function invalidConfig(faults: readonly InputFault[], step = CONTEXT.step): InvalidInputError {
    const lines = faults.map(fault => `${fault.path}: ${fault.message}`).join("; ");
    return new InvalidInputError(`invalid configuration: ${lines}`, faults, { ...CONTEXT, step });
}

function toFaults(issues: readonly z.core.$ZodIssue[], prefix: string): InputFault[] {
    return issues.flatMap(issue => {
        const path = [prefix, ...issue.path.map(String)].filter(part => part !== "").join(".") || "(document)";
        if (issue.code === "invalid_key") return issue.issues.map(inner => ({ path, message: inner.message }));
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map(key => ({
                path: path === "(document)" ? key : `${path}.${key}`,
                message: "unknown field",
            }));
        }
        return [{ path, message: issue.message }];
    });
}

/**
 * Checks one section and fills in the defaults.
 * Fails with every fault at once, each named by its path.
 *
 * @example
 * const section = parseSection({ team: "parts", services: { "parts-ledger": { kind: "plain" } } });
 */
export function parseSection(input: unknown, pathPrefix = ""): Result<ConfigSection, InvalidInputError> {
    const parsed = sectionSchema.safeParse(input);
    if (!parsed.success) return err(invalidConfig(toFaults(parsed.error.issues, pathPrefix)));
    return ok(parsed.data as unknown as ConfigSection);
}

/**
 * Checks the name of a section, team or host in a request.
 *
 * @example
 * parseName("parts", "section"); // ok("parts")
 */
export function parseName(input: string, path: string): Result<string, InvalidInputError> {
    const parsed = nameSchema.safeParse(input);
    return parsed.success ? ok(parsed.data) : err(invalidConfig(toFaults(parsed.error.issues, path)));
}

/**
 * Checks a whole document, `{ "sections": { name: section } }`, section by section.
 *
 * @example
 * const sections = parseDocument(JSON.parse(text));
 */
export function parseDocument(input: unknown): Result<ReadonlyMap<SectionName, ConfigSection>, InvalidInputError> {
    const parsed = documentSchema.safeParse(input);
    if (!parsed.success) return err(invalidConfig(toFaults(parsed.error.issues, "")));
    const sections = new Map<SectionName, ConfigSection>();
    const faults: InputFault[] = [];
    for (const [name, value] of Object.entries(parsed.data.sections)) {
        parseSection(value, `sections.${name}`).match(
            section => sections.set(toId<SectionName>(name), section),
            error => faults.push(...error.faults),
        );
    }
    return faults.length > 0 ? err(invalidConfig(faults)) : ok(sections);
}
