import { parseArgs } from "node:util";
import { runInstalled } from "./steps.mjs";

const MS_PER_MINUTE = 60_000;
/** Properties of test/fuzz, which run one after another. */
const PROPERTY_COUNT = 23;

const { values: flags } = parseArgs({
    options: {
        seed: { type: "string", default: String(Date.now() % 1_000_000_000) },
        minutes: { type: "string", default: "10" },
    },
});
const seed = Number(flags.seed);
const minutes = Number(flags.minutes);
if (!Number.isSafeInteger(seed) || !(minutes > 0)) {
    console.error("usage: npm run fuzz -- [--seed INTEGER] [--minutes NUMBER]");
    process.exit(2);
}
console.log(`seed ${seed}, ${minutes} minutes`);
process.env.SKYLARKMILL_TEST_SEED = String(seed);
process.env.SKYLARKMILL_FUZZ_PROPERTY_MS = String(Math.ceil(minutes * MS_PER_MINUTE / PROPERTY_COUNT));
process.exit(runInstalled("vitest", ["run", "test/fuzz"]));
