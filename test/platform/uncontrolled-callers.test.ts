import { afterEach, describe, it } from "vitest";
import type { CrowdTraffic } from "../support/crowd.ts";
import { CrowdedGateway, type GatewayPortName } from "./stand-ins/crowded-gateway.ts";
import { HOST } from "./stand-ins/fixture.ts";

let gateway: CrowdedGateway;

afterEach(() => gateway.close());

function repeat(text: string, count: number): Buffer {
    return Buffer.from(text.repeat(count), "latin1");
}

/** Creates the header lines of a request that is close to the limit of 16,384 bytes. */
function createLines(line: (index: number) => string, byteCount = 16_000): string {
    let lines = "";
    for (let index = 0; lines.length < byteCount; index += 1) lines += line(index);
    return lines;
}

const SHORT = `GET /lookup/x HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`;
const PROPER = `GET /lookup/x HTTP/1.1\r\nhost: ${HOST}\r\nx-attempt-id: a1\r\nx-deadline-ms: 2000\r\n\r\n`;
const PROPER_AND_CLOSE = PROPER.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
const SHORT_LINES = `GET /lookup/x HTTP/1.1\r\nhost: ${HOST}\r\n${
    createLines(index => `${index.toString(36)}:\r\n`)
}\r\n`;
/** Lines beyond the limit of a head, up to which Node's parser reads. */
const UNFINISHED_LINES = `GET /lookup/x HTTP/1.1\r\nhost: ${HOST}\r\n${
    createLines(index => `${index.toString(36)}:\r\n`, 32_000)
}`;
const ODD_LINES = `GET /lookup/x HTTP/1.1\r\nhost: ${HOST}\r\n${createLines(() => "!:\u00ff\t\u00ff\r\n")}\r\n`;

interface CrowdCase {
    readonly name: string;
    readonly traffic: CrowdTraffic;
    readonly port?: GatewayPortName;
    /** Fewer than the connections that the gateway takes, so that an ordinary caller finds one. */
    readonly clientCount?: number;
    /** Length of the bodies of the server's responses. */
    readonly bodyByteCount?: number;
    /** Flags of Node.js for the gateway. */
    readonly nodeFlags?: readonly string[];
}

/** Clients for cases in which each connection holds a part of the memory. */
const MANY_CLIENTS = 190;
/** A heap that these clients' unfinished heads fill; a machine takes ten times as many connections. */
const SMALL_HEAP_FLAGS = ["--max-old-space-size=40", "--max-semi-space-size=2"];

// Guards against callers that end the process or hang it, since it keeps what they send and what they don't read.
describe("callers that send and never read", () => {
    it.each<CrowdCase>([
        { name: "requests ahead without the usual headers", traffic: { rest: repeat(SHORT, 2_000) } },
        { name: "proper requests ahead", traffic: { rest: repeat(PROPER, 1_000) } },
        { name: "requests ahead of many short lines", traffic: { rest: repeat(SHORT_LINES, 20) } },
        { name: "requests ahead of many odd lines", traffic: { rest: repeat(ODD_LINES, 20) } },
        { name: "one request of many short lines a connection", traffic: { start: repeat(SHORT_LINES, 1) } },
        {
            name: "unfinished heads of many short lines",
            traffic: { start: repeat(UNFINISHED_LINES, 1) },
            clientCount: MANY_CLIENTS,
            nodeFlags: SMALL_HEAP_FLAGS,
        },
        {
            name: "unfinished heads of many short lines at the peer port",
            traffic: { start: repeat(UNFINISHED_LINES, 1) },
            clientCount: MANY_CLIENTS,
            nodeFlags: SMALL_HEAP_FLAGS,
            port: "control",
        },
        {
            name: "long responses that are not read",
            traffic: { start: repeat(PROPER, 1) },
            clientCount: MANY_CLIENTS,
            bodyByteCount: 4_000_000,
        },
        {
            name: "long responses that are read late",
            traffic: { start: repeat(PROPER_AND_CLOSE, 1), readAfterMs: 300 },
            clientCount: 40,
            bodyByteCount: 8_000_000,
        },
        {
            name: "heads over the limit",
            traffic: { rest: repeat(`GET /x HTTP/1.1\r\nhost: ${"x".repeat(400_000)}`, 1) },
        },
        {
            name: "heads without end",
            traffic: { start: repeat("GET /x HTTP/1.1\r\n", 1), rest: repeat("a: b\r\n", 10_000) },
        },
        { name: "empty lines without end", traffic: { rest: repeat("\r\n", 30_000) } },
        { name: "requests ahead at the readiness port", traffic: { rest: repeat(SHORT, 2_000) }, port: "ready" },
        { name: "requests ahead at the peer port", traffic: { rest: repeat(SHORT, 2_000) }, port: "control" },
        {
            name: "requests of many short lines at the peer port",
            traffic: { rest: repeat(SHORT_LINES, 20) },
            port: "control",
        },
        {
            name: "questions for the status at the peer port",
            traffic: { rest: repeat(`GET /v1/status HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`, 500) },
            port: "control",
        },
    ])(
        "leave the process alive within its memory: $name",
        async ({ traffic, port = "front", clientCount, ...options }) => {
            gateway = await CrowdedGateway.start(options);
            await gateway.expectToSurvive(traffic, { port, clientCount });
        },
        60_000,
    );
});
