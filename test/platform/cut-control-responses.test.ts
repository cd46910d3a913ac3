import type { EngineOrder, ServerRecord } from "@skylarkmill/gateway";
import { PlatformEngineClient } from "@skylarkmill/platform";
import { type AddressInfo, createServer } from "node:net";
import { describe, expect, it } from "vitest";

const FRAMINGS = ["length", "chunked", "none"] as const;
const ENDINGS = ["close", "reset", "reset_with_last_bytes"] as const;
type Framing = typeof FRAMINGS[number];
type Ending = typeof ENDINGS[number];

const RESET_DELAY_MS = 10;
/** Exceeds the time limit of orders and reports. */
const SETTLE_TIMEOUT_MS = 2_000;
const BATCH_SIZE = 32;
const REPORT = JSON.stringify({
    stage: "both",
    born: 1_772_451_858_000,
    busy: false,
    sequence: 2,
    models: [{ name: "m1", version: 1, adapters: [] }],
    queued: 0,
    active: 0,
    kv_used: 0,
    kv_total: 1_000,
    handles: 0,
    at_hand: { in_memory: [], on_disk: [] },
});
const ORDER = {
    kind: "load",
    modelId: "m1",
    expectedSequence: 2,
    holder: "edge-1",
    fencingToken: 1,
} as unknown as EngineOrder;

function formatResponse(status: number, framing: Framing, version: string, body: string): string {
    const head = `HTTP/${version} ${status} Done\r\nConnection: close\r\nContent-Type: application/json\r\n`;
    if (framing === "none") return `${head}\r\n${body}`;
    if (framing === "length") return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
    return `${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

type Call = (client: PlatformEngineClient, server: ServerRecord) => Promise<string>;

const sendOrder: Call = (client, server) => client.sendOrder(server, ORDER);
const readReport: Call = async (client, server) => client.readReport(server).match(() => "ok", () => "error");

/** Calls a server that sends the bytes and then ends its connection. */
async function callServer(call: Call, bytes: string, ending: Ending | "open"): Promise<string> {
    const sockets = new Set<{ destroy(): void; }>();
    const listener = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            if (ending === "close") return void socket.end(bytes);
            socket.write(bytes, () => {
                if (ending === "reset") setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
            });
            if (ending === "reset_with_last_bytes") socket.resetAndDestroy();
        });
    });
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
    const { port } = listener.address() as AddressInfo;
    const server = { serverId: "e1", address: { host: "127.0.0.1", port } } as unknown as ServerRecord;
    const timeout = new Promise<string>(resolve =>
        setTimeout(() => resolve("never settled"), SETTLE_TIMEOUT_MS).unref()
    );
    const result = await Promise.race([call(new PlatformEngineClient(), server), timeout]);
    for (const socket of sockets) socket.destroy();
    await new Promise(resolve => listener.close(resolve));
    return result;
}

async function findMistakes(call: Call, cuts: readonly string[], ending: Ending, allowed: string): Promise<object[]> {
    const mistakes: object[] = [];
    for (let first = 0; first < cuts.length; first += BATCH_SIZE) {
        await Promise.all(
            cuts.slice(first, first + BATCH_SIZE).map(async bytes => {
                const result = await callServer(call, bytes, ending);
                if (result !== allowed) mistakes.push({ result, length: bytes.length, tail: bytes.slice(-20) });
            }),
        );
    }
    return mistakes;
}

const CASES = FRAMINGS.flatMap(framing =>
    ENDINGS.flatMap(ending => ["1.1", "1.0"].map(version => ({ framing, ending, version })))
);

// Guards against an order that counts as accepted although its response broke off.
describe.each([
    { status: 202, outcome: "accepted" },
    { status: 200, outcome: "already_held" },
    { status: 409, outcome: "stale" },
    { status: 412, outcome: "fenced" },
])("an order whose response with status $status breaks off", ({ status, outcome }) => {
    it.each(CASES)("has an unknown outcome: framing $framing, $ending, HTTP/$version", async row => {
        const { framing, ending, version } = row;
        const whole = formatResponse(status, framing, version, "{}");
        expect(await callServer(sendOrder, whole, "close")).toBe(outcome);
        // A body without a length ends with the regular end of its connection, wherever that is.
        const end = framing !== "none" ? whole.length : ending === "close" ? whole.length - 2 : whole.length + 1;
        const cuts = Array.from({ length: end }, (_, cut) => whole.slice(0, cut));
        expect(await findMistakes(sendOrder, cuts, ending, "unknown")).toEqual([]);
    }, 20_000);
});

// Guards against a report that is read from a part of a response.
describe("a report whose response breaks off", () => {
    it.each(CASES)("is an error: framing $framing, $ending, HTTP/$version", async ({ framing, ending, version }) => {
        const whole = formatResponse(200, framing, version, REPORT);
        expect(await callServer(readReport, whole, "close")).toBe("ok");
        const cuts = Array.from({ length: whole.length }, (_, cut) => whole.slice(0, cut));
        expect(await findMistakes(readReport, cuts, ending, "error")).toEqual([]);
    }, 20_000);
});

// Guards against an order or a report that never ends: Node's client reports no error after a switch of protocols.
describe("a switch of protocols that was not asked for", () => {
    const bytes = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n";
    it.each([
        { name: "order", call: sendOrder, result: "unknown" },
        { name: "report", call: readReport, result: "error" },
    ])("fails an engine's $name", async ({ call, result }) => {
        for (const ending of ["open", "close", "reset"] as const) {
            expect(await callServer(call, bytes, ending)).toBe(result);
        }
    }, 20_000);
});
