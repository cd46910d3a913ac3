import { afterAll, beforeAll, describe, it } from "vitest";
import { type Cluster, startCluster } from "../support/cluster.ts";
import { CROWDED_NODE_FLAGS, type CrowdTraffic, expectSurvival, playCrowd } from "../support/crowd.ts";
import { createSections } from "./support/fixture.ts";

/** Memory that a process may take beside callers that nobody controls. */
const MEMORY_MB = 220;

let cluster: Cluster;

beforeAll(async () => {
    const sections = createSections({ "bench-diagnosis": {} });
    cluster = await startCluster({ sections, routerCount: 1, engineCount: 1, nodeFlags: CROWDED_NODE_FLAGS });
    await cluster.waitForGrants(["bench-diagnosis"]);
}, 60_000);

afterAll(() => cluster.close());

function repeat(text: string, count: number): Buffer {
    return Buffer.from(text.repeat(count), "latin1");
}

const SHORT = "GET /v1/x HTTP/1.1\r\nhost: h\r\n\r\n";
const MODELS = "GET /v1/models HTTP/1.1\r\nhost: h\r\n\r\n";
const LINES = Array.from({ length: 3_000 }, (_, index) => `${index.toString(36)}:\r\n`).join("");
const SHORT_LINES = `GET /v1/x HTTP/1.1\r\nhost: h\r\n${LINES}\r\n`;

interface CrowdCase {
    readonly name: string;
    readonly process: "router-1" | "agent-1";
    readonly at: "callers" | "operators";
    readonly traffic: CrowdTraffic;
}

// Guards against callers that end a router or an agent, since it keeps what they send and don't read.
describe("callers that send and never read", () => {
    it.each<CrowdCase>([
        { name: "requests ahead", process: "router-1", at: "callers", traffic: { rest: repeat(SHORT, 2_000) } },
        { name: "questions for models", process: "router-1", at: "callers", traffic: { rest: repeat(MODELS, 2_000) } },
        { name: "many short lines", process: "router-1", at: "callers", traffic: { rest: repeat(SHORT_LINES, 20) } },
        { name: "empty lines", process: "router-1", at: "callers", traffic: { rest: repeat("\r\n", 30_000) } },
        { name: "requests ahead", process: "router-1", at: "operators", traffic: { rest: repeat(SHORT, 2_000) } },
        { name: "many short lines", process: "router-1", at: "operators", traffic: { rest: repeat(SHORT_LINES, 20) } },
        { name: "requests ahead", process: "agent-1", at: "callers", traffic: { rest: repeat(SHORT, 2_000) } },
        { name: "many short lines", process: "agent-1", at: "callers", traffic: { rest: repeat(SHORT_LINES, 20) } },
    ])("leave $process alive within its memory: $name of $at", async ({ process: name, at, traffic }) => {
        const target = new URL(at === "operators" ? cluster.operatorUrl(name) : cluster.url(name));
        const address = { host: target.hostname, port: Number(target.port) };
        const outcome = await playCrowd(cluster.process(name), { ...address, traffic }, async () => {
            const response = await cluster.sendChat({ model: "bench-diagnosis" }).catch(() => undefined);
            return response?.status === 200;
        });
        expectSurvival(outcome, MEMORY_MB);
    }, 60_000);
});
