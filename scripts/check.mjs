import { existsSync, mkdirSync, readFileSync, rmSync } from "node:fs";
import { join, relative } from "node:path";
import { compareWithKnownFailures, readKnownFailures } from "./known-failures.mjs";
import { install, rootDir, run, runInstalled } from "./steps.mjs";

const testReport = join(rootDir, "dist", "test-report.json");
const benchReport = join(rootDir, "dist", "bench-report.json");

const steps = [
    ["install", () => install({ needsDev: true })],
    ["formatter", () => runInstalled("dprint", ["check"])],
    ["linter", () => runInstalled("eslint", ["."])],
    ["type check", () => runInstalled("tsc", ["--noEmit"])],
    ["generated code", () => run(process.execPath, ["scripts/generated-checksum.mjs"])],
    ["build", () => run(process.execPath, ["scripts/build-binary.mjs"])],
];

function readTestResults() {
    if (!existsSync(testReport)) return undefined;
    const report = JSON.parse(readFileSync(testReport, "utf8"));
    return report.testResults.flatMap(file => {
        const fileName = relative(rootDir, file.name);
        if (file.assertionResults.length === 0) return [{ name: fileName, hasPassed: file.status === "passed" }];
        return file.assertionResults.map(test => ({
            name: [fileName, ...test.ancestorTitles, test.title].join(" > "),
            hasPassed: test.status === "passed",
        }));
    });
}

function readBenchResults() {
    if (!existsSync(benchReport)) return undefined;
    return JSON.parse(readFileSync(benchReport, "utf8")).map(row => ({
        name: `bench > ${row.measure} > ${row.deployment}`,
        hasPassed: row.verdict === "pass",
    }));
}

function printCountsAndExit(passedCount, failedCount) {
    console.log(`${passedCount} passed, ${failedCount} failed`);
    process.exit(failedCount === 0 ? 0 : 1);
}

for (const [name, step] of steps) {
    console.log(`== ${name}`);
    if (await step() !== 0) {
        console.error(`check failed at: ${name}`);
        printCountsAndExit(0, 1);
    }
}

mkdirSync(join(rootDir, "dist"), { recursive: true });
rmSync(testReport, { force: true });
rmSync(benchReport, { force: true });

console.log("== tests");
runInstalled("vitest", ["run", "--reporter=default", "--reporter=json", `--outputFile.json=${testReport}`]);
const testResults = readTestResults();

console.log("== benches");
const hasBench = existsSync(join(rootDir, "bench/run.ts"));
if (hasBench) runInstalled("tsx", ["bench/run.ts", "--json", benchReport]);
const benchResults = hasBench ? readBenchResults() : [];

if (testResults === undefined || benchResults === undefined) {
    console.error(
        "check failed: vitest did not write dist/test-report.json, or bench/run.ts did not write dist/bench-report.json",
    );
    printCountsAndExit(0, 1);
}

const comparison = compareWithKnownFailures([...testResults, ...benchResults], readKnownFailures());
for (const line of comparison.lines) console.log(line);
printCountsAndExit(comparison.passedCount, comparison.violationCount);
