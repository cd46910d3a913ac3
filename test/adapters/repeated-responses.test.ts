import { createEtcdKeyValueStore, createHttpHostList, createTritonEngineControl } from "@skylarkmill/adapters";
import type { KeyValueStore } from "@skylarkmill/coordination";
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

const toBase64 = (text: string): string => Buffer.from(text).toString("base64");

// Guards against a transaction or lease whose outcome is that of an earlier call, such as a claim that counts as made
// though another process holds it.
describe("a key-value service that sends an earlier response once more", () => {
    const CALL_COUNT = 6;
    /** Outcomes in an order in which neither the previous call nor the one before it had the same one. */
    const isTrue = (index: number): boolean => [0, 3, 4].includes(index);
    interface Case {
        readonly name: string;
        readonly body: (index: number) => object;
        readonly run: (store: KeyValueStore, index: number) => Promise<unknown>;
        readonly expected: (index: number) => unknown;
    }
    const header = { revision: "7" };
    const cases: readonly Case[] = [
        {
            name: "transaction",
            body: index => ({ header, ...(isTrue(index) ? { succeeded: true } : {}) }),
            run: async (store, index) =>
                (await store.commit({
                    compare: [{ key: `/k/${index}`, modRevision: 0 }],
                    puts: [{ key: `/k/${index}`, value: "v" }],
                }))._unsafeUnwrap().succeeded,
            expected: isTrue,
        },
        {
            name: "lease",
            body: index => ({ header, ID: `${index}`, TTL: "5" }),
            run: async store => (await store.grantLease(5_000))._unsafeUnwrap().leaseId,
            expected: String,
        },
        {
            name: "renewal",
            body: index => ({ result: { header, ID: "1", ...(isTrue(index) ? { TTL: "5" } : {}) } }),
            run: async store => (await store.keepLeaseAlive("1"))._unsafeUnwrap() !== undefined,
            expected: isTrue,
        },
        {
            name: "key",
            body: index => ({
                header,
                kvs: [{ key: toBase64("/k"), value: toBase64(`${index}`), mod_revision: "7" }],
            }),
            run: async store => (await store.get("/k"))._unsafeUnwrap()?.value,
            expected: String,
        },
        {
            name: "range",
            body: index => ({ header: { revision: `${index + 1}` } }),
            run: async store => (await store.range("/k/"))._unsafeUnwrap().revision,
            expected: index => index + 1,
        },
    ];

    it.each(cases)("gives each call its own $name", async ({ body, run, expected }) => {
        let callCount = 0;
        const server = await startServer(() => ({ status: 200, body: JSON.stringify(body(callCount++)) }));
        const store = createEtcdKeyValueStore({ endpoints: [server.url] });
        cleanups.push(() => store.close());
        const results: unknown[] = [];
        for (let index = 0; index < CALL_COUNT; index += 1) results.push(await run(store, index));
        expect(results).toEqual(results.map((_, index) => expected(index)));
        expect(server.connectionCount).toBe(CALL_COUNT);
    });
});

// Guards against an unchanged host list that hides a host which has left, or an old list that brings it back.
it("a host list that is sent once more does not replace the list of a later read", async () => {
    const names = ["h0", "h1", "h2", "h3"];
    const createHost = (hostId: string): object => ({
        hostId,
        dataCentre: "edinburgh",
        role: "router",
        state: "live",
        address: "127.0.0.1",
        peerPort: 1,
        requestPort: 2,
    });
    const remaining = [...names];
    const server = await startServer(() => ({
        status: 200,
        body: JSON.stringify({ hosts: [createHost(remaining.shift()!)] }),
    }));
    const list = createHttpHostList({ url: `${server.url}/hosts` });
    cleanups.push(() => list.close());
    const seen: string[] = [];
    for (const _ of names) seen.push(...(await list.read())._unsafeUnwrap().map(({ hostId }) => hostId));
    expect(seen).toEqual(names);
});
