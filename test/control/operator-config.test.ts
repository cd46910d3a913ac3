import { KEYS } from "@skylarkmill/config";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { CommitFate } from "./fake-key-value-store.ts";
import { type CallOptions, OperatorWorld, plainSection, TOKENS } from "./operator-fixture.ts";

const edited = (timeoutMs: number) => plainSection("parts", { "parts-ledger": { timeoutMs } });

// Guards against edits by the wrong team, against malformed input, and against unclear refusals.
describe("operator requests that are refused", () => {
    const headers = { "if-match": "1", "x-edit-id": "e-1" };
    const cases: {
        name: string;
        method?: string;
        path: string;
        options: CallOptions;
        status: number;
        code: string;
    }[] = [
        { name: "no token", path: "/operator/config", options: { token: "" }, status: 401, code: "unauthorized" },
        {
            name: "a wrong token",
            path: "/operator/config",
            options: { token: "guess" },
            status: 401,
            code: "unauthorized",
        },
        { name: "an unknown path", path: "/operator/none", options: {}, status: 404, code: "not_found" },
        {
            name: "an unknown section",
            path: "/operator/config/none",
            options: {},
            status: 404,
            code: "unknown_section",
        },
        { name: "a bad limit", path: "/operator/audit?limit=0", options: {}, status: 400, code: "invalid_query" },
        {
            name: "an outcome without section",
            path: "/operator/config/edits/e-1",
            options: {},
            status: 400,
            code: "invalid_section",
        },
        {
            name: "no If-Match",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers: { "x-edit-id": "e" }, body: {} },
            status: 428,
            code: "if_match_required",
        },
        {
            name: "a bad If-Match",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers: { ...headers, "if-match": "*" }, body: {} },
            status: 400,
            code: "invalid_if_match",
        },
        {
            name: "no edit id",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers: { "if-match": "1" }, body: {} },
            status: 400,
            code: "invalid_edit_id",
        },
        {
            name: "a reserved name",
            method: "PUT",
            path: "/operator/config/status",
            options: { headers, body: {} },
            status: 400,
            code: "reserved_section",
        },
        {
            name: "no JSON",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers, body: "{" },
            status: 400,
            code: "invalid_json",
        },
        {
            name: "too long a body",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers: { ...headers, "content-length": "5000000" }, body: "{}" },
            status: 413,
            code: "too_large",
        },
        {
            name: "an invalid section",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers, body: { team: 7 } },
            status: 400,
            code: "invalid_config",
        },
        {
            name: "another team's section",
            method: "PUT",
            path: "/operator/config/parts",
            options: { team: "workshops", headers, body: plainSection("workshops") },
            status: 403,
            code: "not_owner",
        },
        {
            name: "a section handed to another team",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers, body: plainSection("workshops") },
            status: 403,
            code: "not_own_team",
        },
        {
            name: "a new section of another team",
            method: "PUT",
            path: "/operator/config/new",
            options: { headers: { ...headers, "if-match": "0" }, body: plainSection("workshops", { other: {} }) },
            status: 403,
            code: "not_own_team",
        },
        {
            name: "a service of another section",
            method: "PUT",
            path: "/operator/config/new",
            options: { headers: { ...headers, "if-match": "0" }, body: plainSection("parts") },
            status: 400,
            code: "invalid_config",
        },
        {
            name: "an unknown host",
            method: "PUT",
            path: "/operator/drains/host-x",
            options: {},
            status: 404,
            code: "unknown_host",
        },
    ];
    it.each(cases)("$name: $status $code", async ({ method = "GET", path, options, status, code }) => {
        const world = new OperatorWorld();
        const operator = await world.operator();
        await operator.put("parts", 0, "first", plainSection("parts"));
        const answer = await operator.call(method, path, options);
        expect({ status: answer.status, code: answer.body.error?.code }).toEqual({ status, code });
        expect(operator.records.get(KEYS.config("parts"))?.version).toBe(1);
        expect(operator.records.get(KEYS.config("new"))).toBeUndefined();
        for (const token of Object.values(TOKENS)) expect(world.logLines.join()).not.toContain(token);
    });
});

describe("an edit", () => {
    // Guards against a change without audit entry, and against an editor who can't read back what holds.
    it("is accepted, read back and audited", async () => {
        const operator = await new OperatorWorld().operator();
        expect((await operator.put("parts", 0, "e-1", plainSection("parts"))).body).toMatchObject({
            outcome: "accepted",
            version: 1,
        });
        const second = await operator.put("parts", 1, "e-2", edited(5_000));
        expect(second.body["changes"]).toEqual(["services.parts-ledger.timeoutMs: 30000 -> 5000"]);
        const read = await operator.call("GET", "/operator/config/parts", { team: "workshops" });
        expect(read.body).toMatchObject({
            version: 2,
            editId: "e-2",
            section: { services: { "parts-ledger": { timeoutMs: 5_000 } } },
        });
        expect(read.headers.get("etag")).toBe('"2"');
        const audit = await operator.call("GET", "/operator/audit?section=parts&team=parts&limit=1");
        expect(audit.body["truncated"]).toBe(true);
        expect(audit.body["entries"]).toMatchObject([{
            who: "parts",
            section: "parts",
            versionBefore: 1,
            versionAfter: 2,
            editId: "e-2",
            changes: ["services.parts-ledger.timeoutMs: 30000 -> 5000"],
        }]);
    });

    // Guards against two winners, and against a loser who isn't told what happened.
    it.each([["router-1", "router-1"], ["router-1", "router-2"]])(
        "races another on %s and %s: one wins",
        async (...names) => {
            const world = new OperatorWorld();
            const first = await world.operator("router-0");
            await first.put("parts", 0, "first", plainSection("parts"));
            const operators = await Promise.all(names.map(name => world.operator(name)));
            const answers = await Promise.all(
                operators.map((operator, index) => operator.put("parts", 1, `e-${index}`, edited(1_000 + index))),
            );
            expect(answers.map(answer => answer.status).sort()).toEqual([200, 409]);
            const loser = answers.find(answer => answer.status === 409)!;
            const winnerIndex = answers.findIndex(answer => answer.status === 200);
            expect(loser.body).toMatchObject({
                outcome: "not_accepted",
                currentVersion: 2,
                error: { code: "stale_version" },
            });
            expect(loser.body["changedMeanwhile"]).toMatchObject([{
                version: 2,
                who: "parts",
                changes: [`services.parts-ledger.timeoutMs: 30000 -> ${1_000 + winnerIndex}`],
            }]);
            expect(loser.body["differenceToCurrent"]).toHaveLength(1);
        },
    );

    // Guards against an edit that is carried out twice because its answer was lost on the way to the editor.
    it.each([
        { name: "right after", later: 0, ifMatch: 1 },
        { name: "after other edits", later: 20, ifMatch: 1 },
    ])("repeated $name gets the first outcome", async ({ later, ifMatch }) => {
        const operator = await new OperatorWorld().operator();
        await operator.put("parts", 0, "e-1", plainSection("parts"));
        await operator.put("parts", 1, "e-2", edited(5_000));
        for (let count = 0; count < later; count += 1) {
            await operator.put("parts", 2 + count, `later-${count}`, edited(6_000 + count));
        }
        const repeated = await operator.put("parts", ifMatch, "e-2", edited(5_000));
        expect(repeated.body).toMatchObject({ outcome: "accepted", version: 2, inForce: later === 0 });
        expect(operator.records.get(KEYS.config("parts"))?.version).toBe(2 + later);
        const asked = await operator.call("GET", "/operator/config/edits/e-2?section=parts");
        expect(asked.body).toMatchObject({ outcome: "accepted", version: 2 });
    });

    // Guards against an edit that is taken for accepted although its id stood for other content.
    it("under a used id with other content is refused", async () => {
        const operator = await new OperatorWorld().operator();
        await operator.put("parts", 0, "e-1", plainSection("parts"));
        expect((await operator.put("parts", 1, "e-1", edited(5_000))).body.error?.code).toBe("edit_id_reused");
    });

    // Guards against an audit trail that grows without bound.
    it("keeps at most 1,000 audit entries of a section", async () => {
        const world = new OperatorWorld();
        const operator = await world.operator();
        for (let version = 0; version < 1_020; version += 1) {
            await operator.put("parts", version, `e-${version}`, edited(1_000 + version));
        }
        expect(world.store.keys(`${KEYS.auditPrefix}parts/`)).toHaveLength(1_000);
    });
});

function withResolvers<T>() {
    let resolve: (value: T) => void = () => undefined;
    const promise = new Promise<T>(settle => {
        resolve = settle;
    });
    return { promise, resolve };
}

// Guards against an answer that claims more than is known about an edit.
describe("an edit during faults", () => {
    beforeEach(() => vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] }));
    afterEach(() => vi.useRealTimers());

    const cases: {
        name: string;
        fate: CommitFate;
        downAfter: boolean;
        status: number;
        outcome: string;
        resolved: string;
    }[] = [
        {
            name: "a lost answer",
            fate: "lostAnswer",
            downAfter: false,
            status: 200,
            outcome: "accepted",
            resolved: "accepted",
        },
        {
            name: "a lost request",
            fate: "lostRequest",
            downAfter: false,
            status: 503,
            outcome: "not_accepted",
            resolved: "not_accepted",
        },
        {
            name: "a lost answer, then an outage",
            fate: "lostAnswer",
            downAfter: true,
            status: 503,
            outcome: "unknown",
            resolved: "accepted",
        },
        {
            name: "a lost request, then an outage",
            fate: "lostRequest",
            downAfter: true,
            status: 503,
            outcome: "unknown",
            resolved: "not_accepted",
        },
    ];
    it.each(cases)("$name: $outcome, resolved as $resolved", async ({ fate, downAfter, status, outcome, resolved }) => {
        const world = new OperatorWorld();
        const { store } = world;
        const operator = await world.operator();
        await operator.put("parts", 0, "e-1", plainSection("parts"));
        store.beforeCall = async kind => {
            if (kind === "read") return "normal";
            store.beforeCall = async () => {
                store.isDown = downAfter;
                return "normal";
            };
            return fate;
        };
        const answering = operator.put("parts", 1, "e-2", edited(5_000));
        await vi.advanceTimersByTimeAsync(10_000);
        const answer = await answering;
        expect({ status: answer.status, outcome: answer.body["outcome"] }).toEqual({ status, outcome });
        if (outcome === "unknown") {
            expect(answer.body["askAgain"]).toBe("GET /operator/config/edits/e-2?section=parts&version=1");
        }
        store.beforeCall = () => Promise.resolve("normal");
        store.isDown = false;
        const asked = operator.call("GET", "/operator/config/edits/e-2?section=parts");
        await vi.advanceTimersByTimeAsync(10_000);
        expect((await asked).body["outcome"]).toBe(resolved);
    });

    // Guards against an edit that was declared not accepted and takes effect when a frozen router resumes.
    it.each([
        { name: "an edit", section: "parts", ifMatch: 1, heldAt: "commit" },
        { name: "an edit", section: "parts", ifMatch: 1, heldAt: "read" },
        { name: "a new section", section: "new", ifMatch: 0, heldAt: "commit" },
        { name: "a new section", section: "new", ifMatch: 0, heldAt: "read" },
    ])("keeps $name voided that was held up at a $heldAt", async ({ section, ifMatch, heldAt }) => {
        const world = new OperatorWorld();
        const [frozen, other] = [await world.operator("router-1"), await world.operator("router-2")];
        await frozen.put("parts", 0, "e-1", plainSection("parts"));
        const gate = withResolvers<CommitFate>();
        world.store.beforeCall = kind => {
            if (kind !== heldAt) return Promise.resolve("normal");
            world.store.beforeCall = () => Promise.resolve("normal");
            return gate.promise;
        };
        const late = frozen.put(section, ifMatch, "e-2", plainSection("parts", section === "new" ? { other: {} } : {}));
        await vi.advanceTimersByTimeAsync(0);
        const asking = other.call("GET", `/operator/config/edits/e-2?section=${section}&version=${ifMatch}`);
        await vi.advanceTimersByTimeAsync(10_000);
        expect((await asking).body["outcome"]).toBe("not_accepted");
        gate.resolve("normal");
        await vi.advanceTimersByTimeAsync(10_000);
        expect((await late).body["outcome"]).not.toBe("accepted");
        const again = other.call("GET", `/operator/config/edits/e-2?section=${section}&version=${ifMatch}`);
        await vi.advanceTimersByTimeAsync(10_000);
        expect((await again).body["outcome"]).toBe("not_accepted");
    });

    // Guards against reads that stop with the key-value service.
    it("leaves reading possible while the service is down", async () => {
        const world = new OperatorWorld();
        const operator = await world.operator();
        await operator.put("parts", 0, "e-1", plainSection("parts"));
        world.store.isDown = true;
        expect((await operator.call("GET", "/operator/config/parts")).status).toBe(200);
        const edit = await operator.put("parts", 1, "e-2", edited(5_000));
        expect(edit).toMatchObject({ status: 503, body: { outcome: "unknown", thisAttempt: "not_written" } });
        expect((await operator.call("GET", "/operator/audit")).status).toBe(503);
    });

    // Guards against a configuration that reverts after the service came back with older data.
    it("survives a restore of older data", async () => {
        const world = new OperatorWorld();
        const operator = await world.operator();
        await operator.put("parts", 0, "e-1", plainSection("parts"));
        const old = world.store.snapshot();
        await operator.put("parts", 1, "e-2", edited(5_000));
        world.store.restore(old);
        expect((await operator.put("parts", 1, "e-3", edited(7_000))).status).toBe(409);
        expect((await operator.put("parts", 2, "e-4", edited(8_000))).body).toMatchObject({
            outcome: "accepted",
            version: 3,
        });
    });
});
