import { afterEach, beforeEach, describe, it } from "vitest";
import { type Cluster, startCluster } from "../support/cluster.ts";
import { CROWDED_NODE_FLAGS, type CrowdTraffic, expectSurvival, playCrowd } from "../support/crowd.ts";
import { createSections } from "./support/fixture.ts";
import { createCallHeaders, createFrame, encodeKeptHeader, FLAG, FRAME, OPENING } from "./support/http2-frames.ts";

/** Memory that a process may take beside callers that nobody controls. */
const MEMORY_MB = 220;
const STREAMS = 100;
const MANY_STREAMS = 20_000;

let cluster: Cluster;

beforeEach(async () => {
    const sections = createSections({ "bench-diagnosis": {} });
    cluster = await startCluster({ sections, routerCount: 1, engineCount: 1, nodeFlags: CROWDED_NODE_FLAGS });
    await cluster.waitForGrants(["bench-diagnosis"]);
}, 60_000);

afterEach(() => cluster.close());

/** Joins `count` parts; stream ids of clients are odd. */
function joinStreams(count: number, createPart: (streamId: number) => Buffer): Buffer {
    return Buffer.concat(Array.from({ length: count }, (_, index) => createPart(2 * index + 1)));
}

function repeat(part: Buffer, count: number): Buffer {
    return Buffer.concat(Array.from({ length: count }, () => part));
}

function createCall(streamId: number, flags = 0): Buffer {
    return createFrame(FRAME.headers, FLAG.endHeaders | flags, streamId, createCallHeaders());
}

function createTinyData(streamId: number): Buffer {
    return createFrame(FRAME.data, 0, streamId, Buffer.from("x"));
}

/** A header that is kept in the connection's table, and a block that names it again and again. */
function createRepeatedHeader(): Buffer {
    const block = Buffer.concat([
        createCallHeaders(),
        encodeKeptHeader("x", "y".repeat(120)),
        Buffer.alloc(16_000, 0xbe),
    ]);
    return createFrame(FRAME.headers, FLAG.endHeaders, 1, block);
}

interface PeerCrowd {
    readonly name: string;
    readonly process: "router-1" | "agent-1";
    readonly traffic: CrowdTraffic;
    readonly clientCount?: number;
}

const tinyDataOfManyCalls = Buffer.concat([
    OPENING,
    joinStreams(STREAMS, streamId => Buffer.concat([createCall(streamId), repeat(createTinyData(streamId), 600)])),
]);

// Guards against callers without a key that end a process through its port for other processes, or take all its
// descriptors.
describe("connections to the peers' port without a key, which send and never read", () => {
    it.each<PeerCrowd>([
        {
            name: "tiny data of many calls",
            process: "router-1",
            traffic: { start: tinyDataOfManyCalls },
            clientCount: 60,
        },
        {
            name: "tiny data of many calls",
            process: "agent-1",
            traffic: { start: tinyDataOfManyCalls },
            clientCount: 60,
        },
        {
            name: "tiny data of one call without end",
            process: "router-1",
            traffic: { start: Buffer.concat([OPENING, createCall(1)]), rest: repeat(createTinyData(1), 5_000) },
        },
        {
            name: "data frames without bytes",
            process: "router-1",
            traffic: {
                start: Buffer.concat([OPENING, createCall(1)]),
                rest: repeat(createFrame(FRAME.data, 0, 1), 5_000),
            },
        },
        {
            name: "large data of many calls",
            process: "router-1",
            traffic: {
                start: Buffer.concat([
                    OPENING,
                    joinStreams(4, createCall),
                    repeat(createFrame(FRAME.data, 0, 1, Buffer.alloc(16_000)), 4),
                ]),
                rest: createFrame(FRAME.data, 0, 1, Buffer.alloc(16_000)),
            },
            clientCount: 150,
        },
        {
            name: "very many calls",
            process: "router-1",
            traffic: {
                start: Buffer.concat([OPENING, joinStreams(MANY_STREAMS, id => createCall(id, FLAG.endStream))]),
            },
        },
        {
            name: "calls that are reset",
            process: "router-1",
            traffic: {
                start: Buffer.concat([
                    OPENING,
                    joinStreams(
                        MANY_STREAMS,
                        id => Buffer.concat([createCall(id), createFrame(FRAME.reset, 0, id, Buffer.alloc(4, 8))]),
                    ),
                ]),
            },
        },
        {
            name: "a head without end",
            process: "router-1",
            traffic: {
                start: Buffer.concat([OPENING, createFrame(FRAME.headers, 0, 1, createCallHeaders())]),
                rest: repeat(createFrame(FRAME.continuation, 0, 1, encodeKeptHeader("x", "y")), 2_000),
            },
        },
        {
            name: "a header named again and again",
            process: "router-1",
            traffic: { start: Buffer.concat([OPENING, createRepeatedHeader()]) },
        },
        {
            name: "settings",
            process: "router-1",
            traffic: { start: OPENING, rest: repeat(createFrame(FRAME.settings, 0, 0), 5_000) },
        },
        {
            name: "pings",
            process: "router-1",
            traffic: { start: OPENING, rest: repeat(createFrame(FRAME.ping, 0, 0, Buffer.alloc(8)), 5_000) },
        },
        {
            name: "window updates",
            process: "router-1",
            traffic: {
                start: OPENING,
                rest: repeat(createFrame(FRAME.windowUpdate, 0, 0, Buffer.from([0, 0, 0, 1])), 5_000),
            },
        },
        {
            name: "no protocol at all",
            process: "router-1",
            traffic: { rest: Buffer.alloc(65_536, "\r\nGET / HTTP/1.1 ") },
        },
        { name: "nothing", process: "router-1", traffic: {}, clientCount: 1_200 },
        { name: "an opening and nothing more", process: "router-1", traffic: { start: OPENING }, clientCount: 1_200 },
    ])(
        "leave $process alive within its memory: $name",
        async ({ process: name, traffic, clientCount }) => {
            const address = { host: cluster.address, port: cluster.peerPort(name) };
            const outcome = await playCrowd(cluster.process(name), { ...address, traffic, clientCount }, async () => {
                const response = await cluster.sendChat({ model: "bench-diagnosis" }).catch(() => undefined);
                return response?.status === 200;
            });
            expectSurvival(outcome, MEMORY_MB);
        },
        60_000,
    );
});
