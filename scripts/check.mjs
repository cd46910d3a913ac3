import { existsSync, mkdirSync, readFileSync, rmSync } from "node:fs";
import { join, relative } from "node:path";
import { judge, readKnownRed } from "./known-red.mjs";
import { install, rootDir, run, runInstalled } from "./steps.mjs";

const testReport = join(rootDir, "dist", "test-report.json");
const benchReport = join(rootDir, "dist", "bench-report.json");

const steps = [
    ["install", install],
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
        if (file.assertionResults.length === 0) return [{ name: fileName, passed: file.status === "passed" }];
        return file.assertionResults.map(test => ({
            name: [fileName, ...test.ancestorTitles, test.title].join(" > "),
            passed: test.status === "passed",
        }));
    });
}

function readBenchResults() {
    if (!existsSync(benchReport)) return undefined;
    return JSON.parse(readFileSync(benchReport, "utf8")).map(row => ({
        name: `bench > ${row.measure} > ${row.deployment}`,
        passed: row.verdict === "pass",
    }));
}

function finish(passed, failed) {
    console.log(`${passed} passed, ${failed} failed`);
    process.exit(failed === 0 ? 0 : 1);
}

for (const [name, step] of steps) {
    console.log(`== ${name}`);
    if (step() !== 0) {
        console.error(`check failed at: ${name}`);
        finish(0, 1);
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
    console.error("check failed: a report is missing");
    finish(0, 1);
}

const verdict = judge([...testResults, ...benchResults], readKnownRed());
for (const line of verdict.lines) console.log(line);
finish(verdict.passed, verdict.violations);
