import { spawnSync } from "node:child_process";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { decoderCases } from "./decoders.ts";

const MS_PER_MINUTE = 60_000;
/** One property for each decoder and one for each kind of headers; they run one after another. */
const PROPERTY_COUNT = decoderCases.length + 2;

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
const result = spawnSync(join(import.meta.dirname, "../../node_modules/.bin/vitest"), ["run", "test/fuzz"], {
    stdio: ["ignore", "inherit", "inherit"],
    env: {
        ...process.env,
        SKYLARKMILL_TEST_SEED: String(seed),
        SKYLARKMILL_FUZZ_PROPERTY_MS: String(Math.ceil(minutes * MS_PER_MINUTE / PROPERTY_COUNT)),
    },
});
process.exit(result.status ?? 1);
