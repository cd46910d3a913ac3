import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { rootDir } from "./steps.mjs";

/**
 * Reads the names of the checks that KNOWN-RED.txt lists as failing. An entry starts with a line `test: <name>`; further
 * lines describe it. A name is `<file> > <describe> > <test>` for a test, or `bench > <measure> > <deployment>` for the
 * bound of a benchmark.
 */
export function readKnownRed() {
    const file = join(rootDir, "KNOWN-RED.txt");
    if (!existsSync(file)) return [];
    return readFileSync(file, "utf8")
        .split("\n")
        .filter(line => line.startsWith("test: "))
        .map(line => line.slice("test: ".length).trim());
}

/** Reads the names of listed checks that pass only in some runs; the line `verdict: varies` follows their name. */
function readVarying() {
    const text = existsSync(join(rootDir, "KNOWN-RED.txt")) ? readFileSync(join(rootDir, "KNOWN-RED.txt"), "utf8") : "";
    return [...text.matchAll(/^test: (.*)\nverdict: varies$/gm)].map(match => match[1].trim());
}

/**
 * Compares results with the list. Violations are failures that are not listed, listed checks that pass although their
 * verdict does not vary, and listed checks that did not run.
 */
export function judge(results, knownRed) {
    const lines = [];
    let violations = 0;
    let listedFailures = 0;
    for (const result of results) {
        const listed = knownRed.includes(result.name);
        if (listed && !result.passed) {
            listedFailures += 1;
            lines.push(`known red: ${result.name}`);
        }
        else if (listed && readVarying().includes(result.name)) {
            lines.push(`known red, passed this time: ${result.name}`);
        }
        else if (listed) {
            violations += 1;
            lines.push(`listed in KNOWN-RED.txt but passes: ${result.name}`);
        }
        else if (!result.passed) {
            violations += 1;
            lines.push(`failed: ${result.name}`);
        }
    }
    for (const name of knownRed) {
        if (results.some(result => result.name === name)) continue;
        violations += 1;
        lines.push(`listed in KNOWN-RED.txt but no such test ran: ${name}`);
    }
    return { lines, violations, listedFailures, passed: results.filter(result => result.passed).length };
}
