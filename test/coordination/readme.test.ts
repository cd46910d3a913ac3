import {
    type ClaimInput,
    createClaimWriter,
    createDutyLease,
    createPermitBroker,
    createPermitClient,
    createRecordStore,
    URGENCY,
} from "@skylarkmill/coordination";
import { type AttemptId, type EditId, type ProcessId, type RequestId, toId } from "@skylarkmill/protocol";
import { expect, it, vi } from "vitest";
import { MemoryKeyValueStore } from "../support/memory-key-value-store.ts";

const processId = toId<ProcessId>("p1");

function createInput(attempt: string): ClaimInput {
    const record = { requestId: toId<RequestId>(attempt), attemptId: toId<AttemptId>(attempt), fingerprint: "f" };
    return { serviceId: "s", idempotencyKey: "order-7", record };
}

// Guards against examples in the package's README that no longer work.
it("records: a write is visible to reads immediately", async () => {
    const store = new MemoryKeyValueStore();
    const records = createRecordStore({ processId, store, prefixes: ["/app/config/"], peers: () => [] });
    records.start();
    await records.refresh();
    const editId = toId<EditId>("e1");
    await records.write({ key: "/app/config/a", expectedVersion: 0, value: { limit: 3 }, editId });
    expect(records.get("/app/config/a")?.version).toBe(1);
    await records.stop();
});

it("claims: a repeat returns the existing claim", async () => {
    const store = new MemoryKeyValueStore();
    const claims = createClaimWriter({
        store,
        processId,
        buildClaimKey: (service, hash) => `/app/claims/${service}/${hash}`,
    });
    const input = createInput("a1");
    expect((await claims.claim(input))._unsafeUnwrap().kind).toBe("claimed");
    claims.complete(input, { kind: "finished", status: 200, contentType: "text/plain", bodyBase64: "b2s=" });
    expect((await claims.claim(createInput("a2")))._unsafeUnwrap().kind).toBe("existing");
    await claims.stop();
});

it("duties: a process acquires the duty and releases it on stop", async () => {
    const duty = createDutyLease({ store: new MemoryKeyValueStore(), key: "/app/duties/placement", processId });
    duty.start();
    await vi.waitFor(() => expect(duty.isHeld).toBe(true));
    await duty.stop();
    expect(duty.isHeld).toBe(false);
});

it("permits: the broker grants a permit for a model load", async () => {
    const limits = () => [{ kind: "model_load", ratePerSecond: 3.5, maxInFlight: 4 }] as const;
    const broker = createPermitBroker({ limits });
    const peer = {
        processId,
        acquire: broker.acquire.bind(broker),
        release: async (permitId: string) => broker.release(permitId),
    };
    const permits = createPermitClient({ processId, limits, broker: () => peer, sharingProcessCount: () => 12 });
    const permit = await permits.acquire("model_load", { urgency: URGENCY.waitingRequest });
    expect(permit?.source).toBe("broker");
    permit?.release();
});
