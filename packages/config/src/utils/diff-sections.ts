import type { ConfigSection } from "../types/document.ts";

/** Maximum length of a value in a line of the difference; the record itself holds the full value. */
const MAX_VALUE_CHARS = 400;

function formatValue(value: unknown): string {
    if (value === undefined) return "(absent)";
    const text = JSON.stringify(value);
    return text.length <= MAX_VALUE_CHARS ? text : `${text.slice(0, MAX_VALUE_CHARS)}... (${text.length} characters)`;
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== undefined && !Array.isArray(value);
}

function isNameList(value: unknown): value is readonly string[] {
    return Array.isArray(value) && value.every(item => typeof item === "string");
}

function* diffNameLists(path: string, before: readonly string[], after: readonly string[]): Iterable<string> {
    const [old, current] = [new Set(before), new Set(after)];
    const removed = before.filter(name => !current.has(name));
    const added = after.filter(name => !old.has(name));
    for (const name of removed) yield `${path}.${name}: present -> (absent)`;
    for (const name of added) yield `${path}.${name}: (absent) -> present`;
    if (removed.length + added.length === 0) yield `${path}: order changed`;
}

function* diffValues(path: string, before: unknown, after: unknown): Iterable<string> {
    if (JSON.stringify(before) === JSON.stringify(after)) return;
    if (isNameList(before) && isNameList(after)) {
        yield* diffNameLists(path, before, after);
        return;
    }
    if (!isObject(before) || !isObject(after)) {
        yield `${path || "(section)"}: ${formatValue(before)} -> ${formatValue(after)}`;
        return;
    }
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    for (const key of [...keys].sort()) {
        yield* diffValues(path === "" ? key : `${path}.${key}`, before[key], after[key]);
    }
}

/**
 * Lists the differences between two versions of a section, one line per changed path: `path: before -> after`.
 * An added or removed subtree takes one line.
 *
 * @example
 * diffSections(old, current); // ["services.parts-ledger.timeoutMs: 30000 -> 20000"]
 */
export function diffSections(before: ConfigSection | undefined, after: ConfigSection | undefined): readonly string[] {
    return [...diffValues("", before, after)];
}
