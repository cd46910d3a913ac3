import { tmpdir } from "node:os";
import { join } from "node:path";
import { SOAK_KINDS, type SoakKind } from "./plan.ts";
import { Soak } from "./soak.ts";

const { argv } = process;
/** Returns the number that follows the flag. */
function readNumber(flag: string, defaultValue: number): number {
    const value = argv.includes(flag) ? Number(argv[argv.indexOf(flag) + 1]) : defaultValue;
    if (!Number.isSafeInteger(value) || value < 1) {
        throw new RangeError(`${flag} must be followed by a positive integer`);
    }
    return value;
}

const kindIndex = argv.indexOf("--kind");
/** Every second run has planned work alone, around which no request may be lost. */
const kinds: readonly SoakKind[] = kindIndex < 0
    ? ["planned", "faults"]
    : SOAK_KINDS.filter(kind => kind === argv[kindIndex + 1]);
if (kinds.length === 0) throw new RangeError(`--kind must be followed by one of ${SOAK_KINDS.join(", ")}`);
const firstSeed = readNumber("--seed", 1);
const runs = readNumber("--runs", 1);
let failedCount = 0;
for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
    const kind = kinds[seed % kinds.length]!;
    const folder = join(process.env.SKYLARKMILL_SOAK_FOLDER ?? tmpdir(), `skylarkmill-soak-${seed}`);
    const [gatewayCount, durationMs] = [readNumber("--gateways", 4), 1_000 * readNumber("--seconds", 12)];
    const report = await Soak.run({ seed, gatewayCount, durationMs, kind, folder });
    const { answerCount, completeCount, violations } = report;
    console.log(
        `seed ${seed} ${kind}: ${answerCount} answers, ${completeCount} whole, ${violations.length} violations`,
    );
    for (const violation of violations) console.log(`  ${violation}`);
    if (violations.length > 0) failedCount += 1;
}
console.log(`${runs - failedCount} of ${runs} runs without a violation`);
process.exit(failedCount === 0 ? 0 : 1);
