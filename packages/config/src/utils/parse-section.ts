import { type InputFault, InvalidInputError, type SectionName, toId } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { ConfigSection } from "../types/document.ts";
import { documentSchema, nameSchema, sectionSchema } from "./section-schema.ts";

const ERROR_CONTEXT = { step: "config.parse", peer: "local" };

/** Builds the error for an invalid configuration; its message lists every fault. */
export function createInvalidConfigError(faults: readonly InputFault[], step = ERROR_CONTEXT.step): InvalidInputError {
    const lines = faults.map(fault => `${fault.path}: ${fault.message}`).join("; ");
    return new InvalidInputError(`invalid configuration: ${lines}`, faults, { ...ERROR_CONTEXT, step });
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
 * Validates one section and fills in the defaults. The error lists every fault with its path.
 *
 * @example
 * const section = parseSection({ team: "parts", services: { "parts-ledger": { kind: "plain" } } })._unsafeUnwrap();
 */
export function parseSection(input: unknown, pathPrefix = ""): Result<ConfigSection, InvalidInputError> {
    const parsed = sectionSchema.safeParse(input);
    if (!parsed.success) return err(createInvalidConfigError(toFaults(parsed.error.issues, pathPrefix)));
    return ok(parsed.data as unknown as ConfigSection);
}

/**
 * Validates the name of a section in a request; `path` names the input in the error.
 *
 * @example
 * parseName("parts", "section"); // ok("parts")
 */
export function parseName(input: string, path: string): Result<string, InvalidInputError> {
    const parsed = nameSchema.safeParse(input);
    return parsed.success ? ok(parsed.data) : err(createInvalidConfigError(toFaults(parsed.error.issues, path)));
}

/**
 * Validates each section of a document, `{ "sections": { name: section } }`. The error lists the faults of all
 * sections. Rules that concern several sections are left to `checkDocument`.
 *
 * @example
 * const sections = parseDocument(JSON.parse(text))._unsafeUnwrap();
 */
export function parseDocument(input: unknown): Result<ReadonlyMap<SectionName, ConfigSection>, InvalidInputError> {
    const parsed = documentSchema.safeParse(input);
    if (!parsed.success) return err(createInvalidConfigError(toFaults(parsed.error.issues, "")));
    const sections = new Map<SectionName, ConfigSection>();
    const faults: InputFault[] = [];
    for (const [name, value] of Object.entries(parsed.data.sections)) {
        parseSection(value, `sections.${name}`).match(
            section => sections.set(toId<SectionName>(name), section),
            error => faults.push(...error.faults),
        );
    }
    return faults.length > 0 ? err(createInvalidConfigError(faults)) : ok(sections);
}
