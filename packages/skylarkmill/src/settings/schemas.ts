import { isIP } from "node:net";
import { z } from "zod";

export interface Address {
    readonly host: string;
    readonly port: number;
}

const MAX_PORT = 65_535;

function parseAddress(text: string): Address | undefined {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    const host = match?.[1] ?? match?.[2] ?? "";
    const port = Number(match?.[3]);
    return isIP(host) !== 0 && port <= MAX_PORT ? { host, port } : undefined;
}

/** Parses an IP address with a port; port 0 selects a free port. */
export const addressSchema = z.string().transform((text, context) => {
    const parsed = parseAddress(text);
    if (parsed !== undefined) return parsed;
    context.addIssue({ code: "custom", message: "not an address" });
    return z.NEVER;
});

export const idSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/);

export const httpUrlSchema = z.string().refine(text => URL.canParse(text) && /^https?:$/.test(new URL(text).protocol));

export const httpUrlsSchema = z.string()
    .transform(text => text.split(",").map(part => part.trim()))
    .pipe(z.array(httpUrlSchema).min(1));

/** Parses an integer from `min` to `max`. */
export function integerSchema(min: number, max: number) {
    return z.string().regex(/^\d{1,18}$/).transform(Number).pipe(z.number().min(min).max(max));
}

export function positiveNumberSchema(max: number) {
    return z.string().regex(/^\d+(\.\d+)?$/).transform(Number).pipe(z.number().positive().max(max));
}

export const booleanTextSchema = z.enum(["true", "false"]).transform(text => text === "true");

export const idsSchema = z.string()
    .transform(text => text.split(",").map(part => part.trim()).filter(part => part !== ""))
    .pipe(z.array(idSchema));
