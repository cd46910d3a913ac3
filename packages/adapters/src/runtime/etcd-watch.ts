import { ByteCollector, type WatchEvent } from "@skylarkmill/coordination";
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
const LINE_FEED = 0x0a;

/**
 * Splits a byte stream into lines; throws if an incomplete line exceeds `maxBytes`. Each byte is scanned once.
 *
 * @example
 * for await (const line of readLines(response.body, 1024, peer)) handle(line);
 */
export async function* readLines(
    body: AsyncIterable<Buffer>,
    maxBytes: number,
    peer: string,
): AsyncGenerator<string> {
    const pending = new ByteCollector();
    for await (const chunk of body) {
        let start = 0;
        for (let end = chunk.indexOf(LINE_FEED); end >= 0; end = chunk.indexOf(LINE_FEED, start)) {
            pending.append(chunk.subarray(start, end));
            const line = pending.toBuffer().toString("utf8").trim();
            pending.clear();
            start = end + 1;
            if (line !== "") yield line;
        }
        if (start < chunk.length) pending.append(chunk.subarray(start));
        if (pending.byteCount > maxBytes) {
            throw new ProtocolError("the watch message is too long", { step: STEP, peer });
        }
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
