import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { rootDir } from "./steps.mjs";

/**
 * Reads the names of the checks that KNOWN-RED.txt lists as failing. An entry starts with a line `test: <name>`; further
 * lines describe it. A name is `<file> > <describe> > <test>` for a test, or `bench > <measure> > <deployment>` for the
 * bound of a benchmark.
 */
export function readKnownFailures() {
    const file = join(rootDir, "KNOWN-RED.txt");
    if (!existsSync(file)) return [];
    return readFileSync(file, "utf8")
        .split("\n")
        .filter(line => line.startsWith("test: "))
        .map(line => line.slice("test: ".length).trim());
}

/** Reads the names of listed checks that are flaky: the line after the name is `verdict: varies`. */
function readFlakyChecks() {
    const text = existsSync(join(rootDir, "KNOWN-RED.txt")) ? readFileSync(join(rootDir, "KNOWN-RED.txt"), "utf8") : "";
    return [...text.matchAll(/^test: (.*)\nverdict: varies$/gm)].map(match => match[1].trim());
}

/**
 * Compares results with the list. Violations are failures that are not listed, listed checks that pass although they
 * aren't listed as flaky, and listed checks that did not run.
 */
export function compareWithKnownFailures(results, knownFailures) {
    const lines = [];
    let violationCount = 0;
    let listedFailureCount = 0;
    for (const result of results) {
        const isListed = knownFailures.includes(result.name);
        if (isListed && !result.hasPassed) {
            listedFailureCount += 1;
            lines.push(`known red: ${result.name}`);
        }
        else if (isListed && readFlakyChecks().includes(result.name)) {
            lines.push(`known red, passed this time: ${result.name}`);
        }
        else if (isListed) {
            violationCount += 1;
            lines.push(`listed in KNOWN-RED.txt but passes: ${result.name}`);
        }
        else if (!result.hasPassed) {
            violationCount += 1;
            lines.push(`failed: ${result.name}`);
        }
    }
    for (const name of knownFailures) {
        if (results.some(result => result.name === name)) continue;
        violationCount += 1;
        lines.push(`listed in KNOWN-RED.txt but no such test ran: ${name}`);
    }
    return {
        lines,
        violationCount,
        listedFailureCount,
        passedCount: results.filter(result => result.hasPassed).length,
    };
}
