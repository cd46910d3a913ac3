import type { WatchEvent } from "@skylarkmill/coordination";
import { ProtocolError, UnavailableError } from "@skylarkmill/protocol";
import { Client } from "undici";
import { toKeyValueEntry } from "../utils/etcd-keys.ts";
import { watchMessage } from "./etcd-schemas.ts";
import { parseJson } from "./json-request.ts";

export interface WatchStreamOptions {
    readonly origin: string;
    readonly peer: string;
    readonly body: unknown;
    readonly signal: AbortSignal;
    readonly connectTimeoutMs: number;
    readonly idleTimeoutMs: number;
    readonly maxMessageBytes: number;
    readonly isClosed: () => boolean;
}

const STEP = "kv.watch";

/** Splits a byte stream into lines; throws if an incomplete line exceeds `maxBytes`. */
async function* readLines(body: AsyncIterable<Buffer>, maxBytes: number, peer: string): AsyncGenerator<string> {
    let buffered: Buffer = Buffer.alloc(0);
    for await (const chunk of body) {
        buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
        for (let end = buffered.indexOf(10); end >= 0; end = buffered.indexOf(10)) {
            const line = buffered.subarray(0, end).toString("utf8").trim();
            buffered = buffered.subarray(end + 1);
            if (line !== "") yield line;
        }
        if (buffered.length > maxBytes) throw new ProtocolError("the watch message is too long", { step: STEP, peer });
    }
}

function toWatchEvents(line: string, peer: string): readonly WatchEvent[] {
    const parsed = parseJson(watchMessage, line, { step: STEP, peer });
    if (parsed.isErr()) throw parsed.error;
    const { result } = parsed.value;
    if (result.canceled) {
        if (result.compact_revision === undefined) {
            throw new UnavailableError("the service cancelled the watch", { step: STEP, peer });
        }
        const reason = `history is compacted up to revision ${result.compact_revision}`;
        throw new ProtocolError(`the service cancelled the watch; ${reason}`, { step: STEP, peer });
    }
    return result.events.map(event => ({
        kind: event.type === "DELETE" ? "delete" : "put",
        entry: toKeyValueEntry(event.kv),
    }));
}

/** Opens a watch stream and yields the events of each message; throws when the stream ends, except after an abort. */
export async function* readWatchStream(options: WatchStreamOptions): AsyncGenerator<readonly WatchEvent[]> {
    const { peer, signal } = options;
    const client = new Client(options.origin, {
        connectTimeout: options.connectTimeoutMs,
        headersTimeout: options.connectTimeoutMs,
        bodyTimeout: options.idleTimeoutMs,
    });
    try {
        const response = await client.request({
            method: "POST",
            path: "/v3/watch",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(options.body),
            signal,
        });
        if (response.statusCode !== 200) {
            throw new UnavailableError(`the watch request returned status ${response.statusCode}`, {
                step: STEP,
                peer,
            });
        }
        for await (const line of readLines(response.body, options.maxMessageBytes, peer)) {
            const events = toWatchEvents(line, peer);
            if (events.length > 0) yield events;
            if (options.isClosed()) break;
        }
        throw new UnavailableError("the watch stream ended", { step: STEP, peer });
    }
    catch (cause) {
        if (signal.aborted) return;
        if (cause instanceof UnavailableError || cause instanceof ProtocolError) throw cause;
        throw new UnavailableError(`the watch stream failed: ${String(cause)}`, { step: STEP, peer, cause });
    }
    finally {
        await client.destroy();
    }
}
