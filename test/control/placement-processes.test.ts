import type { Grant, GrantRecord } from "@skylarkmill/config";
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { type Cluster, startCluster } from "../support/cluster.ts";
import { eventually } from "../support/eventually.ts";

const section = (maxReplicas: number) => ({
    team: "w",
    services: { "workshop-assistant": { kind: "model", models: { m: { memoryBytes: 1_000_000_000, maxReplicas } } } },
});
/** The lease of 10 s, the interval at which others try to take it, and a round. */
const TAKEOVER_MS = 30_000;
const ROUTERS = ["router-1", "router-2"];

let cluster: Cluster;

beforeAll(async () => {
    cluster = await startCluster({ sections: { w: section(1) }, routerCount: 2, engineCount: 3 });
}, 60_000);

afterAll(() => cluster.close());

async function grants(): Promise<readonly Grant[]> {
    const record = JSON.parse(await cluster.readKey("/skylarkmill/grants/m") ?? "{}") as { value?: GrantRecord; };
    return record.value?.grants ?? [];
}

function untilGrants(what: string, holds: (grants: readonly Grant[]) => boolean): Promise<true> {
    return eventually(what, async () => holds(await grants()) || undefined, TAKEOVER_MS);
}

/** A router that has just started refuses edits until a peer has confirmed the newest versions. */
function decide(replicas: number, router: string): Promise<boolean> {
    return eventually(`the edit at ${router}`, async () => {
        const { version } = await cluster.readSection("w", router);
        const answer = await cluster.editSection("w", version, section(replicas), router);
        if (answer.status !== 200) throw new Error(`${answer.status} ${answer.text}`);
        return true;
    });
}

/** The router that holds the duty, and the other one. */
async function findHolder(): Promise<readonly [holder: string, other: string]> {
    const processId = await eventually("a holder", () => cluster.readKey("/skylarkmill/duties/placement"), TAKEOVER_MS);
    return processId.includes("router-1") ? ["router-1", "router-2"] : ["router-2", "router-1"];
}

const agentOf = (grant: Grant) => grant.hostId.replace(/^host-/, "");

describe("the placement with real processes", () => {
    beforeEach(async () => {
        for (const name of ROUTERS) await cluster.waitUntilReady(name);
        await cluster.waitForGrants(["m"]);
    }, 60_000);

    afterEach(() => {
        for (const name of ROUTERS) cluster.process(name).signal("SIGCONT");
    });

    // Guards against grants that nobody decides on after the router with the duty was lost.
    it("goes on in another router when its holder is killed", async () => {
        const [holder, other] = await findHolder();
        await cluster.process(holder).end("SIGKILL");
        await decide(3, other);
        await untilGrants("three grants", ({ length }) => length === 3);
        cluster.process(holder).start();
    }, 60_000);

    // Guards against a holder that resumes after its lease and goes on with the number it knew.
    it("keeps the lowered number when a suspended holder resumes", async () => {
        const [holder, other] = await findHolder();
        cluster.process(holder).signal("SIGSTOP");
        await decide(1, other);
        await untilGrants("one grant", ({ length }) => length === 1);
        cluster.process(holder).signal("SIGCONT");
        await eventually("the holder's status", async () => {
            const { text } = await cluster.operator("GET", "config/status", { router: holder });
            return text.includes('"inForceEverywhere":true') || undefined;
        });
        expect(await grants()).toHaveLength(1);
    }, 60_000);

    // Guards against a drain that leaves the model where it was, or gives it to two servers meanwhile.
    it("moves a grant off a drained host", async () => {
        const [before] = await grants();
        const path = `drains/host-${agentOf(before!)}`;
        expect((await cluster.operator("PUT", path)).status).toBe(200);
        await untilGrants("another holder", ([now]) => now !== undefined && now.serverId !== before!.serverId);
        expect(await grants()).toHaveLength(1);
        expect((await cluster.operator("DELETE", path)).status).toBe(200);
    }, 60_000);

    // Guards against a grant that is given away while its dead agent's engine still holds the model.
    it("keeps the grant of a dead agent until its host is gone", async () => {
        const [before] = await grants();
        await cluster.process(agentOf(before!)).end("SIGKILL");
        const [holder] = await findHolder();
        const lineCount = cluster.process(holder).lines.length;
        await decide(2, holder);
        await untilGrants("a second grant", ({ length }) => length === 2);
        expect((await grants()).map(grant => grant.grantId)).toContain(before!.grantId);
        await cluster.setHostState(agentOf(before!), "gone");
        await untilGrants(
            "other holders",
            now => now.length === 2 && now.every(grant => grant.grantId !== before!.grantId),
        );
        expect(cluster.process(holder).lines.slice(lineCount).join("\n")).toContain("is gone");
    }, 60_000);
});
