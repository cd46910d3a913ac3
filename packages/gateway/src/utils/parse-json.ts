import type { z } from "zod";

/** Parses JSON text and validates it; returns undefined if it is not JSON or doesn't match the schema. */
export function parseJson<T>(schema: z.ZodType<T>, text: string): T | undefined {
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch (error) {
        // Invalid JSON is handled like JSON that doesn't match the schema; the calling code reports it.
        if (error instanceof SyntaxError) return undefined;
        throw error;
    }
}
