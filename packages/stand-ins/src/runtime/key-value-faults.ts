import { z } from "zod";

/**
 * `refuse`: connections close without a response. `unavailable`: calls fail with status 503. `hang`: calls get no
 * response on an open connection. In each case, calls have no effect.
 */
export const outageModeSchema = z.enum(["none", "refuse", "unavailable", "hang"]);

export const keyValueFaultsSchema = z.object({
    outage: outageModeSchema.optional(),
    /** Delay before each call is executed. */
    delayMs: z.number().min(0).max(600_000).optional(),
    /** Number of upcoming writes that take effect and whose connection then closes without a response. */
    loseAnswers: z.number().int().min(0).optional(),
    /** Number of upcoming writes whose connection closes at once and that take effect `lateWriteMs` later. */
    lateWrites: z.number().int().min(0).optional(),
    lateWriteMs: z.number().min(0).max(600_000).optional(),
});

export type KeyValueFaults = Required<z.output<typeof keyValueFaultsSchema>>;

/** Returns fault settings without effect. */
export function createInactiveKeyValueFaults(): KeyValueFaults {
    return { outage: "none", delayMs: 0, loseAnswers: 0, lateWrites: 0, lateWriteMs: 1000 };
}
