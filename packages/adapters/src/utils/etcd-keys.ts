import type { KeyValueEntry, Transaction } from "@skylarkmill/coordination";
import type { KeyValueJson } from "../runtime/etcd-schemas.ts";

export function toBase64(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Returns the exclusive end of the range of all keys with a prefix: the prefix with its last byte incremented. */
export function prefixEndBase64(prefix: string): string {
    const bytes = Buffer.from(prefix, "utf8");
    for (let index = bytes.length - 1; index >= 0; index--) {
        const byte = bytes[index]!;
        if (byte === 0xff) continue;
        const end = Buffer.from(bytes.subarray(0, index + 1));
        end[index] = byte + 1;
        return end.toString("base64");
    }
    // etcd interprets the range end "\0" as no upper bound.
    return Buffer.from([0]).toString("base64");
}

export function toKeyValueEntry(kv: KeyValueJson): KeyValueEntry {
    return { key: kv.key, value: kv.value, modRevision: kv.mod_revision };
}

/** Converts a transaction to the request body of etcd's JSON gateway. */
export function toTxnRequest(transaction: Transaction): object {
    return {
        compare: transaction.compare.map(compare => ({
            key: toBase64(compare.key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: String(compare.modRevision),
        })),
        success: [
            ...transaction.puts.map(put => ({
                request_put: {
                    key: toBase64(put.key),
                    value: toBase64(put.value),
                    ...(put.leaseId === undefined ? {} : { lease: put.leaseId }),
                },
            })),
            ...(transaction.deletes ?? []).map(key => ({ request_delete_range: { key: toBase64(key) } })),
        ],
        failure: (transaction.readOnFailure ?? []).map(key => ({ request_range: { key: toBase64(key) } })),
    };
}
