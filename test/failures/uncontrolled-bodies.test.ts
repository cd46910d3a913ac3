import { HEADERS } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { callInChunks } from "../support/chunked-caller.ts";
import { type Cluster, PEER_KEY, startCluster, TEAM_TOKEN } from "../support/cluster.ts";
import { CROWDED_NODE_FLAGS, type CrowdTraffic, expectSurvival, playCrowd } from "../support/crowd.ts";
import { createSections } from "./support/fixture.ts";

/** Memory that a process may take beside callers that nobody controls. */
const MEMORY_MB = 220;
const MANY_CLIENTS = 150;

let cluster: Cluster;

beforeEach(async () => {
    const sections = createSections({ "bench-diagnosis": {} });
    cluster = await startCluster({ sections, routerCount: 1, engineCount: 1, nodeFlags: CROWDED_NODE_FLAGS });
    await cluster.waitForGrants(["bench-diagnosis"]);
}, 60_000);

afterEach(() => cluster.close());

function repeat(text: string, count: number): Buffer {
    return Buffer.from(text.repeat(count), "latin1");
}

const CHAT = "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n";
const EDIT = "PUT /operator/config/models HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n";
const KEYED_CHAT = `${CHAT}${HEADERS.peerKey}: ${PEER_KEY}\r\n${HEADERS.requestId}: r\r\n${HEADERS.attemptId}: a\r\n`
    + `${HEADERS.service}: workshop-assistant\r\n${HEADERS.remainingMs}: 600000\r\n`;
const KEYED_EDIT = `${EDIT}authorization: Bearer ${TEAM_TOKEN}\r\nx-edit-id: e\r\nif-match: "1"\r\n`;
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
const TINY_CHUNK = "1\r\nx\r\n";
const LARGE_CHUNK = `10000\r\n${"x".repeat(65_536)}\r\n`;

interface BodyCrowd {
    readonly name: string;
    readonly process: "router-1" | "agent-1";
    readonly at: "callers" | "operators";
    readonly traffic: CrowdTraffic;
    readonly clientCount?: number;
}

function createTinyChunkCases(process: BodyCrowd["process"], head: string, at: BodyCrowd["at"]): BodyCrowd[] {
    return [
        {
            name: "many one-byte chunks short of the end",
            process,
            at,
            traffic: { start: repeat(head + CHUNKED + TINY_CHUNK.repeat(15_000), 1) },
            clientCount: MANY_CLIENTS,
        },
        {
            name: "one-byte chunks without end",
            process,
            at,
            traffic: { start: repeat(head + CHUNKED, 1), rest: repeat(TINY_CHUNK, 10_000) },
            clientCount: 60,
        },
    ];
}

async function expectProcessToSurvive({ process: name, at, traffic, clientCount }: BodyCrowd): Promise<void> {
    const target = new URL(at === "operators" ? cluster.operatorUrl(name) : cluster.url(name));
    const address = { host: target.hostname, port: Number(target.port) };
    const outcome = await playCrowd(cluster.process(name), { ...address, traffic, clientCount }, async () => {
        const response = await cluster.sendChat({ model: "bench-diagnosis" }).catch(() => undefined);
        return response?.status === 200;
    });
    expectSurvival(outcome, MEMORY_MB);
}

// Guards against callers that end a process or keep it busy by the number of pieces in which their bodies come, or by
// bodies that never end.
describe("bodies of callers that send and never read", () => {
    it.each<BodyCrowd>([
        ...createTinyChunkCases("router-1", CHAT, "callers"),
        {
            name: "large chunks without end",
            process: "router-1",
            at: "callers",
            traffic: { start: repeat(CHAT + CHUNKED, 1), rest: repeat(LARGE_CHUNK, 1) },
            clientCount: 60,
        },
        {
            name: "large chunks short of the end",
            process: "router-1",
            at: "callers",
            traffic: { start: repeat(CHAT + CHUNKED + LARGE_CHUNK.repeat(60), 1) },
            clientCount: 60,
        },
        {
            name: "a stated length far over the limit",
            process: "router-1",
            at: "callers",
            traffic: {
                start: repeat(`${CHAT}content-length: 50000000000\r\n\r\n`, 1),
                rest: repeat("x".repeat(65_536), 1),
            },
            clientCount: 60,
        },
        ...createTinyChunkCases("router-1", EDIT, "operators"),
        ...createTinyChunkCases("agent-1", CHAT, "callers"),
        {
            name: "large chunks short of the end",
            process: "agent-1",
            at: "callers",
            traffic: { start: repeat(CHAT + CHUNKED + LARGE_CHUNK.repeat(60), 1) },
            clientCount: 60,
        },
    ])("leave $process alive within its memory: $name of $at", expectProcessToSurvive, 60_000);
});

// Guards against bodies that are read because their callers have a key or a token.
describe("bodies of callers with a key that send and never read", () => {
    it.each<BodyCrowd>([
        ...createTinyChunkCases("agent-1", KEYED_CHAT, "callers"),
        {
            name: "large chunks short of the end",
            process: "agent-1",
            at: "callers",
            traffic: { start: repeat(KEYED_CHAT + CHUNKED + LARGE_CHUNK.repeat(60), 1) },
            clientCount: 60,
        },
        ...createTinyChunkCases("router-1", KEYED_EDIT, "operators"),
    ])("leave $process alive within its memory: $name of $at", expectProcessToSurvive, 60_000);
});

// Guards against limits that refuse a single request within the limits.
describe("one body within the limit", () => {
    it("is served by a router in one-byte chunks", async () => {
        const { hostname: host, port } = new URL(cluster.url("router-1"));
        const body = JSON.stringify({
            model: "bench-diagnosis",
            messages: [{ role: "user", content: "w ".repeat(20_000) }],
            max_tokens: 4,
        });
        const status = await callInChunks({ host, port: Number(port), head: CHAT, body, chunkByteCount: 1 });
        expect(status).toBe(200);
    }, 60_000);
});
