import { mkdtempSync, rmSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CROWDED_NODE_FLAGS, type CrowdTraffic, MAX_CROWDED_DESCRIPTORS, playCrowd } from "../support/crowd.ts";
import { HOST, PlatformFixture } from "./stand-ins/fixture.ts";
import { type GatewayProcess, startGatewayProcess } from "./stand-ins/gateway-process.ts";

/** Memory of the machine; a process that exceeds it is ended. */
const MEMORY_MB = 200;
/** Time after which a call without a response is repeated. */
const CALL_TIMEOUT_MS = 2_500;

let fixture: PlatformFixture;
let folder: string;
let gateway: GatewayProcess;
let ports: Record<PortName, number>;

type PortName = "front" | "ready" | "control";

beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), "uncontrolled-callers-"));
    fixture = await PlatformFixture.start();
});

async function startGateway(bodyByteCount?: number, nodeFlags = CROWDED_NODE_FLAGS): Promise<void> {
    await fixture.addServer({ id: "d1", service: "desk", ...(bodyByteCount === undefined ? {} : { bodyByteCount }) });
    const settings = await fixture.createSettings("edge-1");
    const limits = { ...settings.limits, memory_mb: MEMORY_MB, max_fds: MAX_CROWDED_DESCRIPTORS };
    gateway = await startGatewayProcess({ ...settings, limits }, folder, "d1", nodeFlags);
    const { front, ready, control } = settings.listen_addrs;
    ports = { front: front.port, ready: ready.port, control: control.port };
}

afterEach(async () => {
    await gateway.process.end();
    await fixture.close();
    rmSync(folder, { recursive: true });
});

function callOnce(): Promise<number | undefined> {
    const headers = { host: HOST, "x-attempt-id": fixture.newId(), "x-deadline-ms": "2000" };
    return new Promise(resolve => {
        const target = { port: ports.front, host: "127.0.0.1", path: "/lookup/x", headers };
        const call = request({ ...target, agent: false, timeout: CALL_TIMEOUT_MS }, response => {
            response.resume().once("end", () => resolve(response.statusCode)).once("error", () => resolve(undefined));
        });
        call.once("timeout", () => call.destroy());
        call.once("error", () => resolve(undefined));
        call.end();
    });
}

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
    readonly port?: PortName;
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

// Guards against callers that end the process or hang it, since it keeps what they send and don't read.
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
    ])("leave the process alive within its memory: $name", async ({ traffic, port = "front", ...crowd }) => {
        await startGateway(crowd.bodyByteCount, crowd.nodeFlags);
        const outcome = await playCrowd(
            gateway.process,
            { port: ports[port], traffic, clientCount: crowd.clientCount },
            async () => await callOnce() === 200,
        );
        expect.soft(outcome.isRunning, JSON.stringify(outcome)).toBe(true);
        expect.soft(outcome.largestMb).toBeLessThan(MEMORY_MB);
        expect.soft(outcome.largestDescriptorCount).toBeLessThan(MAX_CROWDED_DESCRIPTORS);
        expect.soft(outcome.isAnswered).toBe(true);
    }, 60_000);
});
