import { createRecordStore, type RecordStore } from "@skylarkmill/coordination";
import { type EditId, type ProcessId, toId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { MemoryKeyValueStore, type WriteFault } from "../support/memory-key-value-store.ts";

const KEY = "/t/config/a";
const toEditId = (name: string) => toId<EditId>(name);

function createRecords(store: MemoryKeyValueStore): RecordStore {
    return createRecordStore({
        processId: toId<ProcessId>("p1"),
        store,
        prefixes: ["/t/config/"],
        peers: () => [],
    });
}

async function advanceAndAwait<T>(promise: PromiseLike<T>): Promise<T> {
    const pending = Promise.resolve(promise);
    await vi.advanceTimersByTimeAsync(5000);
    return pending;
}

describe("record writer", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    interface Case {
        readonly name: string;
        readonly faults: readonly WriteFault[];
        readonly outcome: string;
        readonly value: string | undefined;
    }
    // Guards against reporting an edit as not accepted although it took effect or takes effect later.
    const cases: Case[] = [
        { name: "no fault occurs", faults: [], outcome: "accepted", value: "new" },
        { name: "the response is lost", faults: ["lost_response"], outcome: "accepted", value: "new" },
        { name: "the request is lost", faults: ["lost_request"], outcome: "UnavailableError", value: undefined },
        { name: "the write is applied late", faults: ["late_effect"], outcome: "UnavailableError", value: undefined },
        {
            name: "the write is applied late and the fencing write is lost",
            faults: ["late_effect", "lost_request"],
            outcome: "UnavailableError",
            value: undefined,
        },
    ];
    it.each(cases)("returns the actual outcome when $name", async ({ faults, outcome, value }) => {
        const store = new MemoryKeyValueStore();
        store.writeFaults.push(...faults);
        const records = createRecords(store);
        const written = await advanceAndAwait(
            records.write({ key: KEY, expectedVersion: 0, value: "new", editId: toEditId("e1") }),
        );
        expect(written.isOk() ? "accepted" : written.error.name).toBe(outcome);

        store.applyLateWrites();
        const fresh = createRecords(store);
        expect((await advanceAndAwait(fresh.refresh())).isOk()).toBe(true);
        expect(fresh.get(KEY)?.value).toBe(value);
    });

    it("accepts one of two concurrent writes and returns a conflict for the other", async () => {
        const store = new MemoryKeyValueStore();
        const [a, b] = [createRecords(store), createRecords(store)];
        const results = await advanceAndAwait(Promise.all([
            a.write({ key: KEY, expectedVersion: 0, value: "a", editId: toEditId("a") }),
            b.write({ key: KEY, expectedVersion: 0, value: "b", editId: toEditId("b") }),
        ]));
        expect(results.filter(result => result.isOk())).toHaveLength(1);
        expect(results.flatMap(result => result.isErr() ? [result.error.name] : [])).toEqual(["ConflictError"]);
    });

    it("resolves an edit with a lost response after later edits", async () => {
        const store = new MemoryKeyValueStore();
        const records = createRecords(store);
        for (let version = 0; version < 5; version += 1) {
            const change = { key: KEY, expectedVersion: version, value: version, editId: toEditId(`e${version}`) };
            expect((await advanceAndAwait(records.write(change))).isOk()).toBe(true);
        }
        const resolve = async (name: string) =>
            (await advanceAndAwait(records.resolveEdit(KEY, toEditId(name))))._unsafeUnwrap();
        expect(await resolve("e1")).toBe("accepted");
        expect(await resolve("other")).toBe("not_accepted");
    });

    it("refuses a write while no exchange with a peer has succeeded", async () => {
        const records = createRecordStore({
            processId: toId<ProcessId>("p1"),
            store: new MemoryKeyValueStore(),
            prefixes: ["/t/config/"],
            peers: () => [{
                processId: toId<ProcessId>("p2"),
                exchange: () => Promise.reject(new Error("cut")),
                push: () => Promise.reject(new Error("cut")),
            }],
        });
        const written = await advanceAndAwait(
            records.write({ key: KEY, expectedVersion: 0, value: 1, editId: toEditId("e") }),
        );
        expect(written._unsafeUnwrapErr().code).toBe("unavailable");
    });
});
