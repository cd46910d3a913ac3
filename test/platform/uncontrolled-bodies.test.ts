import { afterEach, describe, expect, it } from "vitest";
import { callInChunks } from "../support/chunked-caller.ts";
import type { CrowdTraffic } from "../support/crowd.ts";
import { CrowdedGateway, type GatewayPortName } from "./stand-ins/crowded-gateway.ts";
import { HOST } from "./stand-ins/fixture.ts";

/** Largest body by the configuration of these tests. */
const MAX_BODY_BYTES = 1024 * 1024;
/** Fewer than the connections that the gateway takes, so that an ordinary caller finds one. */
const MANY_CLIENTS = 150;

let gateway: CrowdedGateway;

afterEach(() => gateway.close());

function repeat(text: string, count: number): Buffer {
    return Buffer.from(text.repeat(count), "latin1");
}

const HEAD = `POST /lookup/x HTTP/1.1\r\nhost: ${HOST}\r\nx-attempt-id: a1\r\nx-deadline-ms: 60000\r\n`;
/** Head of a call between gateways, whose handler reads the body. */
const PEER_HEAD = "POST /v1/commands HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n";
const PEER_CHUNKED = `${PEER_HEAD}transfer-encoding: chunked\r\n\r\n`;
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const TINY_CHUNK = "1\r\nx\r\n";
const SMALL_CHUNK = `40\r\n${"x".repeat(64)}\r\n`;
const LARGE_CHUNK = `10000\r\n${"x".repeat(65_536)}\r\n`;

function createUnfinished(chunk: string, count: number): CrowdTraffic {
    return { start: repeat(CHUNKED + chunk.repeat(count), 1) };
}

function createEndless(head: string, rest: string, count: number): CrowdTraffic {
    return { start: repeat(head, 1), rest: repeat(rest, count) };
}

interface BodyCrowd {
    readonly name: string;
    readonly traffic: CrowdTraffic;
    readonly clientCount?: number;
    readonly port?: GatewayPortName;
}

// Guards against callers that end the process or keep it busy by the number of pieces in which their bodies come, or by
// bodies that never end.
describe("bodies of callers that send and never read", () => {
    it.each<BodyCrowd>([
        {
            name: "many one-byte chunks short of the end",
            traffic: createUnfinished(TINY_CHUNK, 15_000),
            clientCount: MANY_CLIENTS,
        },
        { name: "one-byte chunks without end", traffic: createEndless(CHUNKED, TINY_CHUNK, 10_000), clientCount: 60 },
        {
            name: "small chunks short of the end",
            traffic: createUnfinished(SMALL_CHUNK, 16_000),
            clientCount: MANY_CLIENTS,
        },
        {
            name: "large chunks short of the end",
            traffic: createUnfinished(LARGE_CHUNK, 15),
            clientCount: MANY_CLIENTS,
        },
        {
            name: "one-byte chunks with long extensions",
            traffic: createEndless(CHUNKED, `1;${"e".repeat(1_000)}\r\nx\r\n`, 60),
            clientCount: 60,
        },
        { name: "large chunks without end", traffic: createEndless(CHUNKED, LARGE_CHUNK, 1), clientCount: 60 },
        {
            name: "a stated length far over the limit",
            traffic: createEndless(`${HEAD}content-length: 50000000000\r\n\r\n`, "x".repeat(65_536), 1),
            clientCount: 60,
        },
        {
            name: "a stated length within the limit, short of the end",
            traffic: { start: repeat(`${HEAD}content-length: ${MAX_BODY_BYTES}\r\n\r\n${"x".repeat(1_000_000)}`, 1) },
            clientCount: MANY_CLIENTS,
        },
        {
            name: "trailers without end",
            traffic: createEndless(`${CHUNKED}${TINY_CHUNK}0\r\n`, "t: v\r\n", 10_000),
            clientCount: 60,
        },
        {
            name: "requests ahead with one-byte chunks",
            traffic: { rest: repeat(`${CHUNKED}${TINY_CHUNK.repeat(1_000)}0\r\n\r\n`, 10) },
        },
        {
            name: "requests ahead with stated bodies",
            traffic: { rest: repeat(`${HEAD}content-length: 10000\r\n\r\n${"x".repeat(10_000)}`, 10) },
        },
        {
            name: "one-byte chunks on ever new connections",
            traffic: { start: repeat(CHUNKED + TINY_CHUNK.repeat(10_000), 1), closesWhenSent: true },
            clientCount: 190,
        },
        {
            name: "one-byte chunks without end at the readiness port",
            traffic: createEndless(CHUNKED, TINY_CHUNK, 10_000),
            port: "ready",
        },
        {
            name: "one-byte chunks without end at the peer port",
            traffic: createEndless(CHUNKED, TINY_CHUNK, 10_000),
            port: "control",
        },
        {
            name: "many one-byte chunks short of the end at the peer port",
            traffic: createUnfinished(TINY_CHUNK, 15_000),
            clientCount: MANY_CLIENTS,
            port: "control",
        },
        {
            name: "large chunks without end to a handler at the peer port",
            traffic: createEndless(PEER_CHUNKED, LARGE_CHUNK, 1),
            port: "control",
        },
        {
            name: "a stated length, short of the end, to a handler at the peer port",
            traffic: {
                start: repeat(`${PEER_HEAD}content-length: 4000000\r\n\r\n${"x".repeat(3_900_000)}`, 1),
            },
            port: "control",
        },
        {
            name: "one-byte chunks to a handler at the peer port",
            traffic: createEndless(PEER_CHUNKED, TINY_CHUNK, 10_000),
            port: "control",
        },
    ])("leave the process alive within its memory: $name", async ({ traffic, port = "front", clientCount }) => {
        gateway = await CrowdedGateway.start({ maxBodyBytes: MAX_BODY_BYTES });
        await gateway.expectToSurvive(traffic, { port, clientCount });
    }, 60_000);
});

// Guards against limits that refuse a single request inside the pages' limits.
describe("one body within the limit", () => {
    it.each([
        { name: "in one-byte chunks", chunkByteCount: 1, byteCount: 200_000 },
        { name: "in chunks of 64 bytes", chunkByteCount: 64, byteCount: MAX_BODY_BYTES },
        { name: "in chunks of 64 KiB", chunkByteCount: 65_536, byteCount: MAX_BODY_BYTES },
    ])("is served unchanged $name", async ({ chunkByteCount, byteCount }) => {
        gateway = await CrowdedGateway.start({ maxBodyBytes: MAX_BODY_BYTES });
        const body = Array.from({ length: byteCount }, (_, index) => String.fromCharCode(97 + index % 23)).join("");
        const status = await callInChunks({ port: gateway.ports.front, head: HEAD, body, chunkByteCount });
        expect(status).toBe(200);
        expect(gateway.server.requests.at(-1)!.body === body).toBe(true);
    }, 60_000);
});
