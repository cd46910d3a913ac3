import { z } from "zod";

/** Pattern of section, team, service, class, model and adapter names. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]*$/;

/** Maximum request deadline; equals the maximum that callers may set on a request. */
const MAX_TIMEOUT_MS = 600_000;

export const nameSchema = z.string().max(128).regex(
    NAME_PATTERN,
    "must start with a-z or 0-9 and go on with a-z, 0-9, '.', '_' or '-'",
);

const timeoutMsSchema = z.int().min(1).max(MAX_TIMEOUT_MS);

const requestRuleSchema = z.strictObject({
    method: z.enum(["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]),
    path: z.string().max(1024).startsWith("/", "must start with '/'").regex(
        /^[^*?#]*\*?$/,
        "must have no query, and '*' only at the end",
    ),
});

const requestClassSchema = z.strictObject({
    priority: z.int().min(0).max(9).default(5),
    timeoutMs: timeoutMsSchema.optional(),
    expectedTokens: z.int().min(1).max(1_000_000).default(200),
});

const modelSchema = z.strictObject({
    version: z.string().min(1).max(128).default("1"),
    memoryBytes: z.int().min(1),
    maxReplicas: z.int().min(0).max(10_000).default(1),
    adapters: z.array(nameSchema).default([]),
    expectedLoadMs: z.int().min(1).max(3_600_000).default(10_000),
});

const commonServiceShape = {
    timeoutMs: timeoutMsSchema.default(30_000),
    weight: z.number().positive().max(1_000).default(1),
    nonIdempotent: z.array(requestRuleSchema).max(1_000).default([]),
};

const modelServiceSchema = z.strictObject({
    kind: z.literal("model"),
    ...commonServiceShape,
    checksFencing: z.boolean().default(false),
    classes: z.record(nameSchema, requestClassSchema).default({}),
    models: z.record(nameSchema, modelSchema),
});

const plainServiceSchema = z.strictObject({
    kind: z.literal("plain"),
    ...commonServiceShape,
    maxInFlight: z.int().min(1).max(100_000).default(16),
});

export const limitsSchema = z.strictObject({
    loadsPerSecond: z.number().positive().max(100_000).default(3.5),
    maxConcurrentLoads: z.int().min(1).max(100_000).default(4),
    maxConcurrentAdapterLoads: z.int().min(1).max(100_000).default(32),
});

export const sectionSchema = z.strictObject({
    team: nameSchema,
    limits: limitsSchema.optional(),
    services: z.record(nameSchema, z.discriminatedUnion("kind", [modelServiceSchema, plainServiceSchema])),
});

/** Schema of a document file. The sections are validated one by one, so that the faults of all are reported. */
export const documentSchema = z.strictObject({ sections: z.record(nameSchema, z.unknown()) });
