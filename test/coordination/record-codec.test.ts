import { parseStoredRecord } from "@skylarkmill/coordination";
import { describe, expect, it } from "vitest";
import { fromWireRecord, toWireRecord } from "../../packages/coordination/src/utils/record-codec.ts";

const record = { version: 1, nonce: "n", editId: "e", writtenAtMs: 1_700, value: { a: 1 } };

// Guards against a record of another writer that can be read but not sent to peers, so that they get no record at all.
describe("a stored record", () => {
    it.each([
        { name: "as it is written", change: {}, isValid: true },
        { name: "with a fraction of a millisecond", change: { writtenAtMs: 1.5 }, isValid: false },
        { name: "with a time beyond all integers", change: { writtenAtMs: 1e308 }, isValid: false },
        { name: "with version 0", change: { version: 0 }, isValid: false },
    ])("$name is valid only if peers can receive it", ({ change, isValid }) => {
        const value = JSON.stringify({ ...record, ...change });
        const parsed = parseStoredRecord({ key: "k", value, modRevision: 1 });
        expect(parsed.isOk()).toBe(isValid);
        if (parsed.isOk()) expect(fromWireRecord(toWireRecord(parsed.value))._unsafeUnwrap().value).toEqual({ a: 1 });
    });
});
