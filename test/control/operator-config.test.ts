import { KEYS } from "@skylarkmill/config";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { CommitBehaviour } from "./fake-key-value-store.ts";
import { type CallOptions, createPlainSection, OperatorHarness, TOKENS } from "./operator-fixture.ts";

const sectionWithTimeout = (timeoutMs: number) => createPlainSection("parts", { "parts-ledger": { timeoutMs } });

// Guards against accepting edits by the wrong team or malformed input, and against refusals without a specific code.
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
            name: "an outcome request without a section",
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
            name: "a body that is not JSON",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers, body: "{" },
            status: 400,
            code: "invalid_json",
        },
        {
            name: "a body that is too long",
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
            options: { team: "workshops", headers, body: createPlainSection("workshops") },
            status: 403,
            code: "not_owner",
        },
        {
            name: "a section reassigned to another team",
            method: "PUT",
            path: "/operator/config/parts",
            options: { headers, body: createPlainSection("workshops") },
            status: 403,
            code: "not_own_team",
        },
        {
            name: "a new section for another team",
            method: "PUT",
            path: "/operator/config/new",
            options: { headers: { ...headers, "if-match": "0" }, body: createPlainSection("workshops", { other: {} }) },
            status: 403,
            code: "not_own_team",
        },
        {
            name: "a service of another section",
            method: "PUT",
            path: "/operator/config/new",
            options: { headers: { ...headers, "if-match": "0" }, body: createPlainSection("parts") },
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
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        await operator.put("parts", 0, "first", createPlainSection("parts"));
        const response = await operator.call(method, path, options);
        expect({ status: response.status, code: response.body.error?.code }).toEqual({ status, code });
        expect(operator.records.get(KEYS.config("parts"))?.version).toBe(1);
        expect(operator.records.get(KEYS.config("new"))).toBeUndefined();
        for (const token of Object.values(TOKENS)) expect(harness.logLines.join()).not.toContain(token);
    });
});

describe("an edit", () => {
    // Guards against a change without an audit entry, and against an editor who can't read back the accepted section.
    it("is accepted, can be read back and is audited", async () => {
        const operator = await new OperatorHarness().addRouter();
        expect((await operator.put("parts", 0, "e-1", createPlainSection("parts"))).body).toMatchObject({
            outcome: "accepted",
            version: 1,
        });
        const second = await operator.put("parts", 1, "e-2", sectionWithTimeout(5_000));
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

    // Guards against accepting both of two concurrent edits, and against a refusal without the changes made meanwhile.
    it.each([["router-1", "router-1"], ["router-1", "router-2"]])(
        "that is concurrent with another on %s and %s: exactly one is accepted",
        async (...names) => {
            const harness = new OperatorHarness();
            const first = await harness.addRouter("router-0");
            await first.put("parts", 0, "first", createPlainSection("parts"));
            const operators = await Promise.all(names.map(name => harness.addRouter(name)));
            const responses = await Promise.all(
                operators.map((operator, index) =>
                    operator.put("parts", 1, `e-${index}`, sectionWithTimeout(1_000 + index))
                ),
            );
            expect(responses.map(response => response.status).sort()).toEqual([200, 409]);
            const loser = responses.find(response => response.status === 409)!;
            const winnerIndex = responses.findIndex(response => response.status === 200);
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

    // Guards against an edit that is applied twice because its response was lost and the editor repeated it.
    it.each([
        { name: "immediately", later: 0, ifMatch: 1 },
        { name: "after other edits", later: 20, ifMatch: 1 },
    ])("that is repeated $name gets the first outcome", async ({ later, ifMatch }) => {
        const operator = await new OperatorHarness().addRouter();
        await operator.put("parts", 0, "e-1", createPlainSection("parts"));
        await operator.put("parts", 1, "e-2", sectionWithTimeout(5_000));
        for (let count = 0; count < later; count += 1) {
            await operator.put("parts", 2 + count, `later-${count}`, sectionWithTimeout(6_000 + count));
        }
        const repeated = await operator.put("parts", ifMatch, "e-2", sectionWithTimeout(5_000));
        expect(repeated.body).toMatchObject({ outcome: "accepted", version: 2, inForce: later === 0 });
        expect(operator.records.get(KEYS.config("parts"))?.version).toBe(2 + later);
        const outcomeResponse = await operator.call("GET", "/operator/config/edits/e-2?section=parts");
        expect(outcomeResponse.body).toMatchObject({ outcome: "accepted", version: 2 });
    });

    // Guards against reporting an edit as accepted because its id was used before, although for other content.
    it("with a used id and other content is refused", async () => {
        const operator = await new OperatorHarness().addRouter();
        await operator.put("parts", 0, "e-1", createPlainSection("parts"));
        expect((await operator.put("parts", 1, "e-1", sectionWithTimeout(5_000))).body.error?.code).toBe(
            "edit_id_reused",
        );
    });

    // Guards against an audit trail that grows without limit.
    it("keeps at most 1,000 audit entries of a section", async () => {
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        for (let version = 0; version < 1_020; version += 1) {
            await operator.put("parts", version, `e-${version}`, sectionWithTimeout(1_000 + version));
        }
        expect(harness.store.keys(`${KEYS.auditPrefix}parts/`)).toHaveLength(1_000);
    });
});

function createDeferred<T>() {
    let resolve: (value: T) => void = () => undefined;
    const promise = new Promise<T>(settle => {
        resolve = settle;
    });
    return { promise, resolve };
}

// Guards against a response that reports an outcome although it is not known whether the edit took effect.
describe("an edit during faults", () => {
    beforeEach(() => vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] }));
    afterEach(() => vi.useRealTimers());

    const cases: {
        name: string;
        behaviour: CommitBehaviour;
        downAfter: boolean;
        status: number;
        outcome: string;
        resolved: string;
    }[] = [
        {
            name: "a lost response",
            behaviour: "lostResponse",
            downAfter: false,
            status: 200,
            outcome: "accepted",
            resolved: "accepted",
        },
        {
            name: "a lost request",
            behaviour: "lostRequest",
            downAfter: false,
            status: 503,
            outcome: "not_accepted",
            resolved: "not_accepted",
        },
        {
            name: "a lost response, then an outage",
            behaviour: "lostResponse",
            downAfter: true,
            status: 503,
            outcome: "unknown",
            resolved: "accepted",
        },
        {
            name: "a lost request, then an outage",
            behaviour: "lostRequest",
            downAfter: true,
            status: 503,
            outcome: "unknown",
            resolved: "not_accepted",
        },
    ];
    it.each(cases)(
        "$name: $outcome, resolved as $resolved",
        async ({ behaviour, downAfter, status, outcome, resolved }) => {
            const harness = new OperatorHarness();
            const { store } = harness;
            const operator = await harness.addRouter();
            await operator.put("parts", 0, "e-1", createPlainSection("parts"));
            store.beforeCall = async kind => {
                if (kind === "read") return "normal";
                store.beforeCall = async () => {
                    store.isDown = downAfter;
                    return "normal";
                };
                return behaviour;
            };
            const pendingResponse = operator.put("parts", 1, "e-2", sectionWithTimeout(5_000));
            await vi.advanceTimersByTimeAsync(10_000);
            const response = await pendingResponse;
            expect({ status: response.status, outcome: response.body["outcome"] }).toEqual({ status, outcome });
            if (outcome === "unknown") {
                expect(response.body["askAgain"]).toBe("GET /operator/config/edits/e-2?section=parts&version=1");
            }
            store.beforeCall = () => Promise.resolve("normal");
            store.isDown = false;
            const pendingOutcomeResponse = operator.call("GET", "/operator/config/edits/e-2?section=parts");
            await vi.advanceTimersByTimeAsync(10_000);
            expect((await pendingOutcomeResponse).body["outcome"]).toBe(resolved);
        },
    );

    // Guards against an edit that was reported as not accepted but takes effect when a suspended router resumes.
    it.each([
        { name: "an edit", section: "parts", ifMatch: 1, delayedCall: "commit" },
        { name: "an edit", section: "parts", ifMatch: 1, delayedCall: "read" },
        { name: "a new section", section: "new", ifMatch: 0, delayedCall: "commit" },
        { name: "a new section", section: "new", ifMatch: 0, delayedCall: "read" },
    ])(
        "$name delayed at a $delayedCall does not take effect after it was reported as not accepted",
        async ({ section, ifMatch, delayedCall }) => {
            const harness = new OperatorHarness();
            const [suspended, other] = [await harness.addRouter("router-1"), await harness.addRouter("router-2")];
            await suspended.put("parts", 0, "e-1", createPlainSection("parts"));
            const gate = createDeferred<CommitBehaviour>();
            harness.store.beforeCall = kind => {
                if (kind !== delayedCall) return Promise.resolve("normal");
                harness.store.beforeCall = () => Promise.resolve("normal");
                return gate.promise;
            };
            const pendingEditResponse = suspended.put(
                section,
                ifMatch,
                "e-2",
                createPlainSection("parts", section === "new" ? { other: {} } : {}),
            );
            await vi.advanceTimersByTimeAsync(0);
            const pendingOutcomeResponse = other.call(
                "GET",
                `/operator/config/edits/e-2?section=${section}&version=${ifMatch}`,
            );
            await vi.advanceTimersByTimeAsync(10_000);
            expect((await pendingOutcomeResponse).body["outcome"]).toBe("not_accepted");
            gate.resolve("normal");
            await vi.advanceTimersByTimeAsync(10_000);
            expect((await pendingEditResponse).body["outcome"]).not.toBe("accepted");
            const pendingRepeatedOutcomeResponse = other.call(
                "GET",
                `/operator/config/edits/e-2?section=${section}&version=${ifMatch}`,
            );
            await vi.advanceTimersByTimeAsync(10_000);
            expect((await pendingRepeatedOutcomeResponse).body["outcome"]).toBe("not_accepted");
        },
    );

    // Guards against reads of the configuration that depend on the key-value service.
    it("the configuration can be read while the key-value service is down", async () => {
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        await operator.put("parts", 0, "e-1", createPlainSection("parts"));
        harness.store.isDown = true;
        expect((await operator.call("GET", "/operator/config/parts")).status).toBe(200);
        const edit = await operator.put("parts", 1, "e-2", sectionWithTimeout(5_000));
        expect(edit).toMatchObject({ status: 503, body: { outcome: "unknown", thisAttempt: "not_written" } });
        expect((await operator.call("GET", "/operator/audit")).status).toBe(503);
    });

    // Guards against a configuration that reverts when the key-value service is restored from older data.
    it("an accepted edit survives a restore of older data", async () => {
        const harness = new OperatorHarness();
        const operator = await harness.addRouter();
        await operator.put("parts", 0, "e-1", createPlainSection("parts"));
        const old = harness.store.snapshot();
        await operator.put("parts", 1, "e-2", sectionWithTimeout(5_000));
        harness.store.restore(old);
        expect((await operator.put("parts", 1, "e-3", sectionWithTimeout(7_000))).status).toBe(409);
        expect((await operator.put("parts", 2, "e-4", sectionWithTimeout(8_000))).body).toMatchObject({
            outcome: "accepted",
            version: 3,
        });
    });
});
