import type {
    QuotaRequest,
    QuotaResponse,
    QuotaSubject,
    RateSubject,
    ReservationRequest,
    ReservationResponse,
    StatementId,
} from "@skylarkmill/coordination";
import type { AdapterId, ModelId, PromptPartId, ServerId } from "@skylarkmill/protocol";
import { z } from "zod";
import type { StoreChanges, StoreSnapshot } from "../runtime/store-view.ts";
import type { DemandMessage, DemandResponse, EngineCommand, PlacementState } from "../types/placement.ts";

const modelId = z.string() as unknown as z.ZodType<ModelId>;
const adapterId = z.string() as unknown as z.ZodType<AdapterId>;
const serverId = z.string() as unknown as z.ZodType<ServerId>;
const count = z.number().int().nonnegative();
const origin = z.enum(["memory", "disk", "store"]);
const target = { modelId, adapterId: adapterId.optional() };
const placedModel = z.object({ modelId, adapterIds: z.array(adapterId), leaving: z.boolean() });

const engineState = z.object({
    serverId,
    bornAtMs: z.number(),
    idle: z.boolean(),
    models: z.array(placedModel),
    onDisk: z.array(modelId),
    inMemory: z.array(modelId),
    hasOtherOrder: z.boolean().optional(),
    job: z.object({ load: modelId, unload: modelId.optional(), origin, expectedMs: z.number() }).optional(),
    coming: z.array(z.string()),
});

// Gateways of an earlier version send none.
const leaving = z.array(z.object({ serverId, bornAtMs: z.number() })).default([]);

const promptPartId = z.string() as unknown as z.ZodType<PromptPartId>;
const crashEvidence = z.array(z.object({
    part: promptPartId,
    generation: count,
    ends: z.array(z.object({ engine: z.string(), ageMs: z.number().nonnegative() })),
}));

const rateSubject = z.string() as unknown as z.ZodType<RateSubject>;
const rates = z.array(z.object({
    subject: rateSubject,
    statementId: z.string() as unknown as z.ZodType<StatementId>,
    ratePerSecond: z.number().positive().optional(),
    ageMs: z.number().nonnegative(),
}));

// Optional fields are absent in the schema's type but `undefined` in the interfaces; JSON doesn't distinguish them.
export const demandSchema = z.object({
    gateway: z.string(),
    address: z.string(),
    waiting: z.array(z.object({ ...target, count, oldestWaitMs: z.number() })),
    running: z.array(z.object({ ...target, serverId, count })),
    arrivals: z.array(z.object({ ...target, count })),
    engines: z.array(engineState).optional(),
    // Gateways of an earlier version send none.
    leaving,
    rates: rates.default([]),
    crashEvidence: crashEvidence.default([]),
}) as unknown as z.ZodType<DemandMessage>;

const eta = z.object({ modelId, readyInMs: z.number() });

export const demandResponseSchema: z.ZodType<DemandResponse> = z.object({
    totals: z.array(z.object({ serverId, count })),
    leaving,
    rates: rates.default([]),
    crashEvidence: crashEvidence.default([]),
    etas: z.array(eta),
});

export const reservationRequestSchema: z.ZodType<ReservationRequest> = z.object({
    statements: rates,
    demands: z.array(z.object({ subject: rateSubject, count, maxWaitMs: z.number().nonnegative() })),
});

export const reservationResponseSchema: z.ZodType<ReservationResponse> = z.object({
    statements: rates,
    grants: z.array(z.object({
        subject: rateSubject,
        ratePerSecond: z.number().positive(),
        startsInMs: z.array(z.number().nonnegative()),
        nextInMs: z.number(),
    })),
    term: z.number(),
});

const quotaSubject = z.string() as unknown as z.ZodType<QuotaSubject>;
const units = z.number().nonnegative();

export const quotaRequestSchema: z.ZodType<QuotaRequest> = z.object({
    process: z.string(),
    term: z.number(),
    asks: z.array(z.object({
        subject: quotaSubject,
        heldCount: units,
        returnedCount: units,
        needs: z.array(units),
        expectedCount: units,
        receivedGrant: count,
    })),
});

export const quotaResponseSchema: z.ZodType<QuotaResponse> = z.object({
    term: z.number(),
    processCount: count,
    grants: z.array(z.object({
        subject: quotaSubject,
        coveredNeeds: count,
        neededCount: units,
        grant: count,
        aheadCount: units,
        roomInMs: units.optional(),
    })),
});

const adapterTarget = z.object({ modelId, adapterId });

export const commandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("model"), serverId, load: modelId, unload: modelId.optional(), origin }),
    z.object({ kind: z.literal("adapter"), serverId, load: adapterTarget, unload: adapterTarget.optional() }),
]) as unknown as z.ZodType<EngineCommand>;

export const placementSchema: z.ZodType<PlacementState> = z.object({
    term: z.number(),
    version: z.number(),
    isPartial: z.boolean(),
    removed: z.array(serverId),
    engines: z.array(z.object({ serverId, bornAtMs: z.number(), models: z.array(placedModel) })),
    etas: z.array(eta),
    gatewayCount: count,
});

const entry = z.object({ key: z.string(), value: z.string(), modRevision: z.number() });

const generation = z.number().optional();

export const snapshotSchema: z.ZodType<StoreSnapshot> = z.object({
    revision: z.number(),
    generation,
    entries: z.array(entry),
});

export const changesSchema: z.ZodType<StoreChanges> = z.object({
    revision: z.number(),
    generation,
    ageMs: z.number().nonnegative(),
    isComplete: z.boolean(),
    entries: z.array(entry),
    removed: z.array(z.object({ key: z.string(), modRevision: z.number() })),
});
