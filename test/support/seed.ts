import type { Parameters } from "fast-check";

/** Seed of all property tests; `SKYLARKMILL_TEST_SEED` overrides it. */
export const TEST_SEED = Number(process.env.SKYLARKMILL_TEST_SEED ?? 20_261_204);

/** Settings of a property test; fast-check prints the seed and path of a failure. */
export function seeded<T>(numRuns: number): Parameters<T> {
    return { seed: TEST_SEED, numRuns, endOnFailure: true };
}
