import { z } from "zod";

const countSchema = z.number().int().min(0).optional();

export const engineFaultsSchema = z.object({
    /** Delay before each answer starts. */
    delayMs: z.number().min(0).max(600_000).optional(),
    /** Factor on prefill and decoding; 10 makes a straggler. */
    slowFactor: z.number().min(0.01).max(10_000).optional(),
    /** Factor on loads. */
    loadSlowFactor: z.number().min(0.01).max(10_000).optional(),
    /** Faults of the next answers: chunks of another request mixed in. */
    crossed: countSchema,
    /** One event sent twice. */
    duplicated: countSchema,
    /** One event left out. */
    skipped: countSchema,
    /** One event sent after the one that follows it. */
    late: countSchema,
    /** The connection breaks in the middle. */
    truncated: countSchema,
    /** The stream ends cleanly without its last events. */
    unfinished: countSchema,
    /** The whole answer is one of another request. */
    misaddressed: countSchema,
    /** The next load orders fail after their duration. */
    failLoads: countSchema,
    /** The next load orders take effect, and their connection breaks without an answer. */
    unansweredLoads: countSchema,
    /** The next load orders take effect, and stay without an answer. */
    hungLoads: countSchema,
});

export type EngineFaults = Required<z.output<typeof engineFaultsSchema>>;
export type CountedFault = Exclude<keyof EngineFaults, "delayMs" | "slowFactor" | "loadSlowFactor">;

export function noEngineFaults(): EngineFaults {
    return {
        delayMs: 0,
        slowFactor: 1,
        loadSlowFactor: 1,
        crossed: 0,
        duplicated: 0,
        skipped: 0,
        late: 0,
        truncated: 0,
        unfinished: 0,
        misaddressed: 0,
        failLoads: 0,
        unansweredLoads: 0,
        hungLoads: 0,
    };
}

/** Uses up one occurrence of a counted fault; returns whether it applies. */
export function consumeFault(faults: EngineFaults, fault: CountedFault): boolean {
    if (faults[fault] === 0) return false;
    faults[fault]--;
    return true;
}
