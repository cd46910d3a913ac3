import {
    createBackendClient,
    createEtcdKeyValueStore,
    createHttpHostList,
    createTritonEngineControl,
} from "@skylarkmill/adapters";
import { type ModelId, toId } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { type AddressInfo, createServer } from "node:net";
import { text } from "node:stream/consumers";
import { describe, expect, it } from "vitest";

const FRAMINGS = ["length", "chunked", "none"] as const;
const ENDINGS = ["close", "reset"] as const;
const VERSIONS = [
    { version: "1.1", connection: "keep-alive" },
    { version: "1.1", connection: "close" },
    { version: "1.0", connection: "close" },
];
type Framing = typeof FRAMINGS[number];
type Ending = typeof ENDINGS[number];

const RESET_DELAY_MS = 10;
const TIMEOUT_MS = 1_000;
/** Number of connections at a time. */
const BATCH_SIZE = 32;

interface Client {
    readonly name: string;
    readonly body: string;
    readonly call: (url: string) => Promise<Result<unknown, { readonly code: string; }>>;
    /** Errors of a response that is not whole; a request that was sent is never reported as not run. */
    readonly codes: readonly string[];
    /** Whether the body shows by itself that it is not whole. */
    readonly checksBody: boolean;
}

const ORDER = { modelId: toId<ModelId>("m1"), fencingToken: 1 };
const HOST = {
    hostId: "h1",
    dataCentre: "edinburgh",
    role: "router",
    state: "live",
    address: "127.0.0.1",
    peerPort: 1,
    requestPort: 2,
};

const CLIENTS: readonly Client[] = [
    {
        name: "backend client",
        body: "the whole answer",
        call: async url => {
            const client = createBackendClient({ baseUrl: url });
            const signal = AbortSignal.timeout(TIMEOUT_MS);
            const sent = await client.send({ method: "POST", path: "/x", headers: {}, body: "{}", signal });
            if (sent.isErr()) return err(sent.error);
            return text(sent.value.body).then(
                body => ok<unknown, { code: string; }>(body),
                () => err<unknown, { code: string; }>({ code: "broken" }),
            );
        },
        codes: ["outcome_unknown", "broken"],
        checksBody: false,
    },
    {
        name: "order to an engine",
        body: "{}",
        call: async url => {
            const control = createTritonEngineControl({ baseUrl: url, orderTimeoutMs: TIMEOUT_MS });
            const result = await control.unload(ORDER);
            await control.close();
            return result;
        },
        codes: ["outcome_unknown"],
        checksBody: true,
    },
    {
        name: "write to the key-value service",
        body: JSON.stringify({ header: { revision: "7" }, succeeded: true }),
        call: async url => {
            const store = createEtcdKeyValueStore({ endpoints: [url], timeoutMs: TIMEOUT_MS });
            const result = await store.commit({ compare: [], puts: [{ key: "/a", value: "1" }] });
            await store.close();
            return result;
        },
        codes: ["outcome_unknown"],
        checksBody: true,
    },
    {
        name: "read of the key-value service",
        body: JSON.stringify({ header: { revision: "7" }, kvs: [{ key: "YQ==", value: "MQ==", mod_revision: "3" }] }),
        call: async url => {
            const store = createEtcdKeyValueStore({ endpoints: [url], timeoutMs: TIMEOUT_MS });
            const result = await store.get("/a");
            await store.close();
            return result;
        },
        codes: ["unavailable", "protocol"],
        checksBody: true,
    },
    {
        name: "host list",
        body: JSON.stringify({ hosts: [HOST] }),
        call: async url => {
            const list = createHttpHostList({ url: `${url}/hosts`, timeoutMs: TIMEOUT_MS });
            const result = await list.read();
            await list.close();
            return result;
        },
        codes: ["unavailable"],
        checksBody: true,
    },
];

function formatResponse(framing: Framing, version: string, connection: string, body: string): string {
    const head = `HTTP/${version} 200 OK\r\nConnection: ${connection}\r\nContent-Type: application/json\r\n`;
    if (framing === "none") return `${head}\r\n${body}`;
    if (framing === "length") return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
    return `${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

/** Calls a server that sends the bytes and then ends its connection. */
async function callServer(client: Client, bytes: string, ending: Ending): ReturnType<Client["call"]> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            if (ending === "close") return void socket.end(bytes);
            socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const result = await client.call(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    await new Promise(resolve => server.close(resolve));
    return result;
}

// Guards against an answer that breaks off in its head or its body and is taken for a whole one, and against a request
// that is reported as not run although it was sent.
describe.each(CLIENTS)("$name: a response that breaks off", client => {
    const cases = FRAMINGS.flatMap(framing =>
        ENDINGS.flatMap(ending => VERSIONS.map(version => ({ framing, ending, ...version })))
    );
    it.each(cases)(
        "is an error: framing $framing, $ending, HTTP/$version, $connection",
        async ({ framing, ending, version, connection }) => {
            const whole = formatResponse(framing, version, connection, client.body);
            const bodyStart = whole.indexOf("\r\n\r\n") + 4;
            expect((await callServer(client, whole, "close")).isOk()).toBe(true);
            // A body without a length ends with the regular end of its connection, wherever that is.
            const isReset = framing === "none" && ending === "reset";
            const isWholeAnywhere = framing === "none" && ending === "close" && !client.checksBody;
            const cutCount = isWholeAnywhere ? bodyStart : whole.length + (isReset && !client.checksBody ? 1 : 0);
            const cuts = Array.from({ length: cutCount }, (_, cut) => cut);
            const mistakes: object[] = [];
            for (let first = 0; first < cuts.length; first += BATCH_SIZE) {
                await Promise.all(
                    cuts.slice(first, first + BATCH_SIZE).map(async cut => {
                        const result = await callServer(client, whole.slice(0, cut), ending);
                        const code = result.isOk() ? "ok" : result.error.code;
                        if (!client.codes.includes(code)) {
                            mistakes.push({ cut, code, tail: whole.slice(0, cut).slice(-20) });
                        }
                    }),
                );
            }
            expect(mistakes).toEqual([]);
        },
        20_000,
    );
});

// Guards against a request that never ends: Node's client reports no error after a switch of protocols.
describe.each(CLIENTS)("$name: a switch of protocols that was not asked for", client => {
    it.each(ENDINGS)("is an error: %s", async ending => {
        const bytes = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n";
        const late = new Promise<string>(resolve => setTimeout(() => resolve("never settled"), 3 * TIMEOUT_MS).unref());
        const call = callServer(client, bytes, ending).then(result => result.isOk() ? "ok" : result.error.code);
        expect(client.codes).toContain(await Promise.race([call, late]));
    });
});
