import { z } from "zod";

/**
 * `refuse`: connections break without an answer. `unavailable`: calls are answered 503 without effect.
 * `hang`: calls get no answer and have no effect.
 */
export const outageModeSchema = z.enum(["none", "refuse", "unavailable", "hang"]);

export const keyValueFaultsSchema = z.object({
    outage: outageModeSchema.optional(),
    /** Delay before each call is carried out. */
    delayMs: z.number().min(0).max(600_000).optional(),
    /** The next writes take effect, and their answers are lost. */
    loseAnswers: z.number().int().min(0).optional(),
    /** The next writes take effect `lateWriteMs` after their connection broke. */
    lateWrites: z.number().int().min(0).optional(),
    lateWriteMs: z.number().min(0).max(600_000).optional(),
});

export type KeyValueFaults = Required<z.output<typeof keyValueFaultsSchema>>;

export function noKeyValueFaults(): KeyValueFaults {
    return { outage: "none", delayMs: 0, loseAnswers: 0, lateWrites: 0, lateWriteMs: 1000 };
}
