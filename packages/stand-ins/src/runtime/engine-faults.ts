import { z } from "zod";

const countSchema = z.number().int().min(0).optional();

export const engineFaultsSchema = z.object({
    /** Delay before each response starts. */
    delayMs: z.number().min(0).max(600_000).optional(),
    /** Factor on the duration of prefill and decoding, such as 10 for a straggler. */
    slowFactor: z.number().min(0.01).max(10_000).optional(),
    /** Factor on the duration of loads. */
    loadSlowFactor: z.number().min(0.01).max(10_000).optional(),
    /** Number of upcoming responses that contain a chunk of another request. */
    crossed: countSchema,
    /** Number of upcoming streams with one event sent twice. */
    duplicated: countSchema,
    /** Number of upcoming streams with one event omitted. */
    skipped: countSchema,
    /** Number of upcoming streams with two adjacent events in the wrong order. */
    late: countSchema,
    /** Number of upcoming responses whose connection closes in the middle. */
    truncated: countSchema,
    /** Number of upcoming streams that end cleanly without their last events. */
    unfinished: countSchema,
    /** Number of upcoming whole responses that belong to another request. */
    misaddressed: countSchema,
    /** Number of upcoming model loads that fail at their end. */
    failLoads: countSchema,
    /** Number of upcoming load orders that take effect and whose connection closes without a response. */
    unansweredLoads: countSchema,
    /** Number of upcoming load orders that take effect and get no response on an open connection. */
    hungLoads: countSchema,
});

export type EngineFaults = Required<z.output<typeof engineFaultsSchema>>;
export type CountedFault = Exclude<keyof EngineFaults, "delayMs" | "slowFactor" | "loadSlowFactor">;

/** Returns fault settings without effect. */
export function createInactiveEngineFaults(): EngineFaults {
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
