import { createTritonEngineControl } from "@skylarkmill/adapters";
import type { ModelId } from "@skylarkmill/protocol";
import { afterEach, describe, expect, it } from "vitest";
import { type RepeatingRequest, type RepeatingResponse, startRepeatingServer } from "../support/repeating-server.ts";

const cleanups: (() => Promise<unknown>)[] = [];

afterEach(async () => {
    for (const close of cleanups.splice(0).reverse()) await close();
});

async function startServer(respond: (request: RepeatingRequest) => RepeatingResponse) {
    const server = await startRepeatingServer({ respond });
    cleanups.push(() => server.close());
    return server;
}

const modelId = (name: string): ModelId => name as ModelId;

// Guards against an order that counts as carried out, or as refused, by a second copy of an earlier order's response.
describe("an engine that sends an earlier response once more", () => {
    const CODES: Readonly<Record<number, string | undefined>> = { 409: "refused", 500: "outcome_unknown" };
    const cases = [
        { name: "a success", statuses: [200, 500, 200, 409, 200, 500] },
        { name: "a refusal", statuses: [409, 500, 409, 200, 409, 500] },
        { name: "a failure", statuses: [500, 409, 200, 200, 500, 409] },
    ];

    it.each(cases)("decides no later order with $name", async ({ statuses }) => {
        const remaining = [...statuses];
        const server = await startServer(() => ({ status: remaining.shift() ?? 200, body: "{}" }));
        const control = createTritonEngineControl({ baseUrl: server.url });
        cleanups.push(() => control.close());
        const codes: (string | undefined)[] = [];
        for (const index of statuses.keys()) {
            const order = { modelId: modelId(`m${index}`), version: "1", memoryBytes: 1, fencingToken: 1 };
            const result = await control.load(order);
            codes.push(result.isErr() ? result.error.code : undefined);
        }
        expect(server.journal.map(({ response }) => response.status)).toEqual(statuses);
        expect(codes).toEqual(statuses.map(status => CODES[status]));
    });

    it("does not have its index taken from the response to an order", async () => {
        const model = { name: "m1", state: "READY" };
        const server = await startServer(({ path }) => {
            if (path === "/v2") {
                return { status: 200, body: JSON.stringify({ parameters: { memory_size_bytes: 9, slot_count: 1 } }) };
            }
            return { status: 200, body: path === "/v2/repository/index" ? JSON.stringify([model]) : "[]" };
        });
        const control = createTritonEngineControl({ baseUrl: server.url });
        cleanups.push(() => control.close());
        await Promise.all([1, 2].map(token => control.unload({ modelId: modelId("m2"), fencingToken: token })));
        await control.readIndex();
        const index = (await control.readIndex())._unsafeUnwrap();
        expect(index.models.map(({ modelId: id }) => id)).toEqual(["m1"]);
    });
});
