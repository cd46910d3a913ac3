import { z } from "zod";

/** The JSON gateway encodes int64 fields as strings and omits fields with the value zero. */
const int64 = z.union([z.string().regex(/^-?\d{1,20}$/), z.number()]).transform(Number);
const base64 = z.string().default("").transform(text => Buffer.from(text, "base64").toString("utf8"));

export const header = z.object({ revision: int64.default(0) });

export const keyValue = z.object({ key: base64, value: base64, mod_revision: int64.default(0) });

export const rangeResponse = z.object({
    header,
    kvs: z.array(keyValue).default([]),
    more: z.boolean().default(false),
});

export const txnResponse = z.object({
    header,
    succeeded: z.boolean().default(false),
    responses: z.array(z.object({
        response_range: z.object({ kvs: z.array(keyValue).default([]) }).optional(),
    })).default([]),
});

export const leaseGrantResponse = z.object({ ID: z.string(), TTL: int64 });

export const leaseKeepAliveResponse = z.object({
    result: z.object({ ID: z.string(), TTL: int64.default(0) }),
});

export const emptyResponse = z.object({});

export const watchMessage = z.object({
    result: z.object({
        header: header.optional(),
        created: z.boolean().default(false),
        canceled: z.boolean().default(false),
        compact_revision: int64.optional(),
        events: z.array(z.object({
            type: z.enum(["PUT", "DELETE"]).default("PUT"),
            kv: keyValue,
        })).default([]),
    }),
});

export type KeyValueJson = z.output<typeof keyValue>;
