import { z } from "zod";
import type { KeyValueEvent, StoredValue } from "./key-value-state.ts";

const base64TextSchema = z.string().default("").transform(value => Buffer.from(value, "base64").toString("utf8"));
const optionalBase64TextSchema = z.string().optional().transform(value =>
    value === undefined || value === "" ? undefined : Buffer.from(value, "base64").toString("utf8")
);
const int64Schema = z.union([z.string(), z.number()]).default(0).transform(Number);
const leaseIdSchema = z.union([z.string(), z.number()]).default("0").transform(value =>
    String(value) === "0" ? undefined : String(value)
);

/** Converts field names to snake case, since the etcd gateway accepts both snake case and camel case. */
function withSnakeCase<Schema extends z.ZodType>(schema: Schema) {
    return z.preprocess(value => {
        if (typeof value !== "object" || value === undefined || Array.isArray(value)) return value;
        const entries = Object.entries(value ?? {});
        return Object.fromEntries(
            entries.map((
                [name, field],
            ) => [name.replace(/[a-z][A-Z]/g, pair => `${pair[0]}_${pair[1]!.toLowerCase()}`), field]),
        );
    }, schema);
}

export const rangeRequestSchema = withSnakeCase(z.object({
    key: base64TextSchema,
    range_end: optionalBase64TextSchema,
    limit: int64Schema,
    revision: int64Schema,
}));

const putRequestSchema = withSnakeCase(
    z.object({ key: base64TextSchema, value: base64TextSchema, lease: leaseIdSchema }),
);
const deleteRequestSchema = withSnakeCase(z.object({ key: base64TextSchema, range_end: optionalBase64TextSchema }));

const operationSchema = withSnakeCase(z.object({
    request_put: putRequestSchema.optional(),
    request_delete_range: deleteRequestSchema.optional(),
    request_range: rangeRequestSchema.optional(),
}));

// etcd refuses transactions with more than 128 operations.
const MAX_OPERATIONS = 128;

export const txnRequestSchema = z.object({
    compare: z.array(withSnakeCase(z.object({
        key: base64TextSchema,
        target: z.literal("MOD"),
        result: z.literal("EQUAL").default("EQUAL"),
        mod_revision: int64Schema,
    }))).max(MAX_OPERATIONS).default([]),
    success: z.array(operationSchema).max(MAX_OPERATIONS).default([]),
    failure: z.array(operationSchema).max(MAX_OPERATIONS).default([]),
});

export const leaseGrantRequestSchema = z.object({ TTL: int64Schema });
export const leaseRequestSchema = z.object({ ID: z.union([z.string(), z.number()]).transform(String) });

export const watchRequestSchema = withSnakeCase(z.object({
    create_request: withSnakeCase(
        z.object({ key: base64TextSchema, range_end: optionalBase64TextSchema, start_revision: int64Schema }),
    ),
}));

export type TxnOperation = z.output<typeof operationSchema>;
export type TxnRequest = z.output<typeof txnRequestSchema>;
export type RangeRequest = z.output<typeof rangeRequestSchema>;

function toBase64(value: string): string {
    return Buffer.from(value, "utf8").toString("base64");
}

export function toResponseHeader(revision: number): object {
    return { cluster_id: "1", member_id: "1", revision: String(revision), raft_term: "1" };
}

export function toKeyValue(key: string, stored: StoredValue): object {
    return {
        key: toBase64(key),
        value: toBase64(stored.value),
        create_revision: String(stored.createRevision),
        mod_revision: String(stored.modRevision),
        version: String(stored.version),
        ...(stored.leaseId === undefined ? {} : { lease: stored.leaseId }),
    };
}

export function toWatchMessage(events: readonly KeyValueEvent[], revision: number): string {
    const json = events.map(event => {
        if (event.storedValue !== undefined) return { kv: toKeyValue(event.key, event.storedValue) };
        return { type: "DELETE", kv: { key: toBase64(event.key), mod_revision: String(event.revision) } };
    });
    return `${JSON.stringify({ result: { header: toResponseHeader(revision), events: json } })}\n`;
}
