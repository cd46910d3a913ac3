import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { type CallResult, type Cluster, startCluster, TEAM_TOKEN } from "../support/cluster.ts";
import { eventually } from "../support/eventually.ts";

const sections = {
    ledger: {
        team: "ledger",
        services: {
            "parts-ledger": { kind: "plain", timeoutMs: 4000, nonIdempotent: [{ method: "POST", path: "/orders" }] },
        },
    },
    notices: { team: "ledger", services: { "notice-board": { kind: "plain", timeoutMs: 4000 } } },
    stores: { team: "stores", services: { "store-room": { kind: "plain", timeoutMs: 4000 } } },
};

const ROUTERS = ["router-1", "router-2", "router-3"];
const AGENTS = ["agent-1", "agent-2"];
/** Time within which an accepted edit has to be in force in every live process. */
const IN_FORCE_MS = 5000;

interface Section {
    readonly team: string;
    readonly services: Record<string, { readonly kind: string; readonly timeoutMs: number; }>;
}

interface ProcessStatus {
    readonly hostId: string;
    readonly reachable: boolean;
    readonly versions?: Readonly<Record<string, number>>;
}

let cluster: Cluster;
let editCount = 0;

beforeAll(async () => {
    cluster = await startCluster({ sections, routerCount: 3, engineCount: 0, ledgerCount: 2 });
}, 60_000);

afterAll(() => cluster.close());

async function restoreCluster(): Promise<void> {
    await cluster.control("kv", "faults", { outage: "none", delayMs: 0, loseAnswers: 0, lateWrites: 0 });
    for (const name of [...AGENTS, ...ROUTERS]) {
        cluster.process(name).signal("SIGCONT");
        if (!cluster.process(name).isRunning) cluster.process(name).start();
    }
    await Promise.all([...AGENTS, ...ROUTERS].map(name => cluster.waitUntilReady(name)));
    await waitUntilInForce((await cluster.readSection("ledger")).version);
}

async function readStatuses(router = "router-1"): Promise<readonly ProcessStatus[]> {
    const response = await cluster.operator("GET", "config/status", { router });
    return (JSON.parse(response.text) as { readonly processes: ProcessStatus[]; }).processes;
}

/** Waits until this or a later version of the section is in force in each of the processes. */
async function waitUntilInForce(
    version: number,
    processes: readonly string[] = [...AGENTS, ...ROUTERS],
    router = "router-1",
): Promise<void> {
    await eventually(`version ${version} in ${processes.join(", ")}`, async () => {
        const statuses = await readStatuses(router);
        const hasVersion = (name: string) =>
            (statuses.find(status => status.hostId === cluster.hostId(name))?.versions?.["ledger"] ?? 0) >= version;
        return processes.every(hasVersion) || undefined;
    }, IN_FORCE_MS);
}

async function createEdit(router = "router-1"): Promise<{ readonly version: number; readonly section: Section; }> {
    const { version, section } = await cluster.readSection<Section>("ledger", router);
    editCount += 1;
    const services = { "parts-ledger": { ...section.services["parts-ledger"]!, timeoutMs: 4000 + editCount } };
    return { version, section: { ...section, services } };
}

async function submitEdit(
    router = "router-1",
    editId = `edit-${editCount + 1}`,
): Promise<CallResult & { readonly id: string; }> {
    const { version, section } = await createEdit(router);
    return { ...await cluster.editSection("ledger", version, section, router, editId), id: editId };
}

const versionOf = (response: CallResult): number =>
    (JSON.parse(response.text) as { readonly version: number; }).version;

/** Polls the version in force in every process; `stop` returns each decrease that was seen. */
function watchVersions(): { stop(): Promise<readonly string[]>; } {
    const highest = new Map<string, number>();
    const reverts: string[] = [];
    let isStopped = false;
    const loop = async () => {
        while (!isStopped) {
            for (const router of ROUTERS) {
                const statuses = await readStatuses(router).catch(() => []);
                for (const { hostId, versions } of statuses) recordVersion(hostId, versions?.["ledger"]);
            }
        }
    };
    const recordVersion = (hostId: string, version: number | undefined) => {
        if (version === undefined) return;
        const before = highest.get(hostId) ?? 0;
        if (version < before) reverts.push(`${hostId}: ${before} -> ${version}`);
        highest.set(hostId, Math.max(before, version));
    };
    const running = loop();
    return {
        async stop() {
            isStopped = true;
            await running;
            return reverts;
        },
    };
}

describe("an accepted edit", () => {
    beforeEach(restoreCluster, 40_000);

    it("is in force in every process within five seconds and is recorded in the audit trail", async () => {
        const response = await submitEdit();
        expect(response.status, response.text).toBe(200);
        await waitUntilInForce(versionOf(response));
        const audit = await cluster.operator("GET", "audit?section=ledger");
        const { entries } = JSON.parse(audit.text) as { entries: Record<string, unknown>[]; };
        const entry = entries.find(candidate => candidate["editId"] === response.id);
        const version = versionOf(response);
        expect(entry).toMatchObject({ who: "ledger", versionBefore: version - 1, versionAfter: version });
        expect(JSON.stringify(entry?.["changes"])).toContain("timeoutMs");
    });

    // Guards against a process that starts during an outage with an outdated configuration or with none.
    const starts = [{ name: "router-3" }, { name: "agent-2" }];
    it.each(starts)("is in force in $name, which starts while the key-value service is down", async ({ name }) => {
        const response = await submitEdit();
        await waitUntilInForce(versionOf(response));
        await cluster.control("kv", "faults", { outage: "refuse" });
        await cluster.process(name).end("SIGKILL");
        cluster.process(name).start();
        await waitUntilInForce(versionOf(response), [name]);
    });

    // Guards against the loss of an accepted edit when the key-value service is restored from an older snapshot.
    const restores = [
        { name: "with all processes running", restart: [] },
        { name: "with a router and an agent that start after the restore", restart: ["router-2", "agent-1"] },
        { name: "with all routers but one starting after the restore", restart: ["router-1", "router-2"] },
    ];
    it.each(restores)(
        "stays in force when the key-value service is restored to older data, $name",
        async ({ restart }) => {
            const before = await submitEdit();
            await waitUntilInForce(versionOf(before));
            const { snapshotId } = await cluster.control("kv", "snapshot", {}, "POST") as { snapshotId: number; };
            const newest = await submitEdit();
            await waitUntilInForce(versionOf(newest));

            const watch = watchVersions();
            await Promise.all(restart.map(name => cluster.process(name).end("SIGKILL")));
            await cluster.control("kv", "restore", { snapshotId }, "POST");
            for (const name of restart) cluster.process(name).start();
            await waitUntilInForce(versionOf(newest), [...AGENTS, ...ROUTERS], "router-3");
            await eventually("the repair of the stored section", async () => {
                const stored = await cluster.readKey("/skylarkmill/config/ledger");
                const { version } = JSON.parse(stored ?? "{}") as { version?: number; };
                return version === versionOf(newest) || undefined;
            });
            expect(await watch.stop()).toEqual([]);
            const next = await submitEdit("router-3");
            expect(versionOf(next)).toBe(versionOf(newest) + 1);
        },
        60_000,
    );

    it("reaches a process that was suspended, and no process returns to an older version", async () => {
        cluster.process("router-2").signal("SIGSTOP");
        const response = await submitEdit();
        const watch = watchVersions();
        cluster.process("router-2").signal("SIGCONT");
        await waitUntilInForce(versionOf(response));
        expect(await watch.stop()).toEqual([]);
    });
});

describe("concurrent edits", () => {
    beforeEach(restoreCluster, 40_000);

    // Guards against two concurrent edits that are both reported as accepted although one overwrites the other.
    it("of one section: one is accepted, and the others are refused with the changes made meanwhile", async () => {
        for (let round = 0; round < 8; round += 1) {
            const { version, section } = await createEdit();
            const responses = await Promise.all(ROUTERS.map((router, index) => {
                const services = {
                    "parts-ledger": { ...section.services["parts-ledger"]!, timeoutMs: 6000 + round * 10 + index },
                };
                return cluster.editSection(
                    "ledger",
                    version,
                    { ...section, services },
                    router,
                    `race-${round}-${index}`,
                );
            }));
            const accepted = responses.filter(response => response.status === 200);
            expect(accepted, responses.map(response => response.text).join("\n")).toHaveLength(1);
            const refused = responses.filter(response => response.status === 409);
            expect(refused).toHaveLength(2);
            for (const response of refused) expect(response.text).toContain('"changedMeanwhile":[{');
            await waitUntilInForce(versionOf(accepted[0]!));
        }
    }, 60_000);

    it("of different sections are both accepted", async () => {
        const [first, second] = await Promise.all([
            submitEdit("router-1"),
            (async () => {
                const { version, section } = await cluster.readSection("notices", "router-2");
                return cluster.editSection("notices", version, section, "router-2");
            })(),
        ]);
        expect([first.status, second.status]).toEqual([200, 200]);
    });
});

describe("an edit whose write has an unknown outcome", () => {
    beforeEach(restoreCluster, 40_000);

    interface Case {
        readonly name: string;
        readonly faults: object;
        readonly outcome: "accepted" | "not_accepted";
    }
    // Guards against an edit that is reported as "not accepted" and takes effect all the same.
    const cases: Case[] = [
        { name: "the key-value service loses the response", faults: { loseAnswers: 1 }, outcome: "accepted" },
        { name: "the write takes effect late", faults: { lateWrites: 1, lateWriteMs: 600 }, outcome: "not_accepted" },
    ];
    it.each(cases)("is reported with its real outcome when $name", async ({ faults, outcome }) => {
        await cluster.control("kv", "faults", faults);
        const response = await submitEdit();
        expect(response.text).toContain(`"outcome":"${outcome}"`);
        const again = await cluster.operator("GET", `config/edits/${response.id}?section=ledger`);
        expect(again.text).toContain(`"outcome":"${outcome}"`);
        const { version } = await cluster.readSection("ledger");
        // The delayed write takes effect after 600 ms.
        await new Promise(resolve => setTimeout(resolve, 800));
        const stored = JSON.parse(await cluster.readKey("/skylarkmill/config/ledger") ?? "{}") as { editId: string; };
        expect(stored.editId === response.id).toBe(outcome === "accepted");
        expect((await cluster.readSection("ledger")).version).toBe(version);
    });

    it("is reported as unknown during an outage and resolved after it", async () => {
        const { version, section } = await createEdit();
        await cluster.control("kv", "faults", { outage: "hang" });
        const startedAtMs = performance.now();
        const response = await cluster.editSection("ledger", version, section, "router-1", "edit-outage");
        expect(performance.now() - startedAtMs).toBeLessThan(10_000);
        expect(response.status).toBe(503);
        expect(response.text).toContain('"outcome":"unknown"');
        await cluster.control("kv", "faults", { outage: "none" });
        const resolved = await eventually("the outcome", async () => {
            const again = await cluster.operator("GET", "config/edits/edit-outage?section=ledger");
            return again.status === 200 ? again : undefined;
        });
        expect(resolved.text).toContain('"outcome":"not_accepted"');
        // The version may have increased, which keeps a write that is still in flight from taking effect.
        const { timeoutMs } = section.services["parts-ledger"]!;
        expect(await cluster.readKey("/skylarkmill/config/ledger")).not.toContain(`"timeoutMs":${timeoutMs}`);
        await submitEdit();
        expect(await cluster.readKey("/skylarkmill/config/ledger")).not.toContain(`"timeoutMs":${timeoutMs},`);
    }, 40_000);
});

describe("operators and peers without the right secret", () => {
    beforeEach(restoreCluster, 40_000);

    const cases = [
        { name: "no token", token: "", status: 401 },
        { name: "an unknown token", token: "guess", status: 401 },
        { name: "another team's token", token: `${TEAM_TOKEN}-stores`, status: 403 },
        { name: "another team's token and team", token: `${TEAM_TOKEN}-stores`, status: 403, team: "stores" },
    ];
    // Guards against an edit of a section by a token that does not belong to the section's team.
    it.each(cases)("change nothing with $name", async ({ token, status, team }) => {
        const { version, section } = await createEdit();
        const response = await cluster.operator("PUT", "config/ledger", {
            headers: { "authorization": `Bearer ${token}`, "if-match": String(version), "x-edit-id": `bad-${status}` },
            body: team === undefined ? section : { ...section, team },
        });
        expect(response.status).toBe(status);
        expect((await cluster.readSection("ledger")).version).toBe(version);
    });

    it("run no request at an agent", async () => {
        const runs = async () =>
            (await cluster.journal("ledger-1")).filter(event => event.kind === "execution_started").length;
        const before = await runs();
        const response = await cluster.call("agent-1", "/orders", {
            method: "POST",
            headers: {
                "x-skylarkmill-service": "parts-ledger",
                "x-skylarkmill-attempt-id": "a1",
                "x-skylarkmill-deadline-ms": "1000",
                "x-skylarkmill-peer-key": "guess",
            },
            body: { part: "hub" },
        });
        expect(response.status).toBe(401);
        expect(await runs()).toBe(before);
    });

    it("see neither a team token nor the peer key in the logs of routers and agents", async () => {
        const secrets = [TEAM_TOKEN, "cluster-peer-key"];
        const lines = [...ROUTERS, ...AGENTS].flatMap(name => cluster.process(name).lines);
        expect(lines.filter(line => secrets.some(secret => line.includes(secret)))).toEqual([]);
    });
});
