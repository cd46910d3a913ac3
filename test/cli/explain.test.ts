import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import { explainRequest } from "../../packages/skylarkmill/src/commands/explain.ts";

let dir: string;
let files: string[];

function formatLogLine(second: number, host: string, step: string, fields: object): string {
    const time = new Date(Date.UTC(2026, 2, 2, 11, 44, second)).toISOString();
    return JSON.stringify({ name: "skylarkmill", hostname: host, step, msg: step, time, ...fields });
}

beforeAll(() => {
    dir = mkdtempSync(join(tmpdir(), "explain-"));
    files = ["a.log", "b.log"].map(name => join(dir, name));
    writeFileSync(
        files[0]!,
        [
            "not json",
            formatLogLine(10, "edge-1", "server.leave", { server: "i-1", reason: "draining" }),
            `  12.5 edge-1 ${
                formatLogLine(12, "edge-1", "request.refused", {
                    requestId: "r1",
                    model: "m1",
                    waitedMs: 1_000,
                    code: "no_server",
                })
            }`,
            formatLogLine(13, "edge-1", "request.refused", { requestId: "r2", model: "m9", waitedMs: 5 }),
            formatLogLine(14, "edge-1", "server.hold", { server: "i-3", holdMs: 2_000 }),
            formatLogLine(14, "edge-1", "server.leave", { server: "i-4", reason: "announced" }),
            formatLogLine(15, "edge-1", "request.hold", { requestId: "r3", server: "i-3", waitedMs: 0, holdMs: 900 }),
            formatLogLine(15, "edge-1", "request.refused", { requestId: "r3", code: "servers_on_hold", waitedMs: 0 }),
            formatLogLine(40, "edge-1", "request.end_unverified", { requestId: "r4", server: "i-1", waitedMs: 0 }),
            formatLogLine(41, "edge-1", "request.broken", { requestId: "r5", cause: "stopping", waitedMs: 0 }),
            formatLogLine(41, "edge-1", "request.stopped", { requestId: "r5", during: "serving", outcome: "aborted" }),
            formatLogLine(42, "edge-1", "stopped", { open: 0 }),
            formatLogLine(60, "edge-1", "request.unmarked_refusal", {
                requestId: "r6",
                server: "i-1",
                status: 503,
                markedNotRun: false,
                sameRequest: true,
                waitedMs: 0,
            }),
            formatLogLine(60, "edge-1", "request.refused", { requestId: "r6", status: 502, waitedMs: 0 }),
            formatLogLine(43, "edge-1", "start", { host: "edge-1" }),
            formatLogLine(44, "edge-1", "server.leave", { server: "i-1", reason: "draining" }),
        ].join("\n"),
    );
    writeFileSync(
        files[1]!,
        [
            formatLogLine(9, "edge-2", "engine.model", { server: "i-7", load: "m5", unload: "m1" }),
            formatLogLine(9, "edge-2", "engine.model", { server: "i-7", load: "m5", unload: "m6" }),
            formatLogLine(11, "edge-2", "request.lost", {
                requestId: "r1",
                model: "m1",
                server: "i-1",
                waitedMs: 0,
                cause: "silent",
            }),
        ].join("\n"),
    );
});

afterAll(() => rmSync(dir, { recursive: true }));

async function runExplain(argv: readonly string[]): Promise<{ code: number; out: string; err: string; }> {
    const out = vi.spyOn(process.stdout, "write").mockReturnValue(true);
    const err = vi.spyOn(process.stderr, "write").mockReturnValue(true);
    const code = await explainRequest(argv);
    const text = (spy: typeof out): string => spy.mock.calls.map(([chunk]) => String(chunk)).join("");
    const result = { code, out: text(out), err: text(err) };
    out.mockRestore();
    err.mockRestore();
    return result;
}

// Guards against a history that omits lines of other hosts or includes decisions about other models.
describe("skylarkmill explain", () => {
    it("prints the lines of a request from all hosts by time, with the decisions about its model and servers", async () => {
        const { code, out } = await runExplain(["r1", ...files]);
        expect(code).toBe(0);
        const rows = out.trim().split("\n").slice(1);
        expect(rows.map(row => row.replace(/ +/g, " ").split(" ").slice(0, 5).join(" "))).toEqual([
            " -2.000 s edge-2 engine.model:",
            " -1.000 s edge-1 server.leave:",
            "* 0.000 s edge-2 request.lost:",
            "* 1.000 s edge-1 request.refused:",
        ]);
        expect(out).not.toContain("m6");
    });

    it("names the server on hold for which a request waited or was refused", async () => {
        const { out } = await runExplain(["r3", ...files]);
        const steps = out.trim().split("\n").slice(1).map(row => /(\S+):/.exec(row)![1]);
        expect(steps).toEqual(["server.hold", "request.hold", "request.refused"]);
    });

    // Guards against a history from which it can't be told why a stream ended.
    it.each([
        {
            requestId: "r4",
            end: "its stream ended with its server's connection, which may have cut it",
            steps: ["request.end_unverified", "stopped", "start"],
        },
        {
            requestId: "r5",
            end: "the stop of its gateway ended it",
            steps: ["request.broken", "request.stopped", "stopped", "start"],
        },
    ])(
        "says how request $requestId ended, and whether its process ended after it",
        async ({ requestId, end, steps }) => {
            const { out } = await runExplain([requestId, ...files]);
            const [heading, ...rows] = out.trim().split("\n");
            expect(heading).toBe(`request ${requestId}; ${end}; times count from its arrival; * marks its own lines`);
            expect(rows.map(row => / {2}(\S+):/.exec(row)![1])).toEqual(steps);
        },
    );

    // Guards against a caller's 502 that can't be traced to the server that refused the request.
    it("shows what a server said whose refusal did not go on", async () => {
        const { out } = await runExplain(["r6", ...files]);
        const [, refusal, end] = out.trim().split("\n");
        expect(refusal).toContain("request.unmarked_refusal");
        expect(refusal).toContain("server=i-1 status=503 markedNotRun=false sameRequest=true");
        expect(end).toContain("request.refused");
        expect(end).toContain("status=502");
    });

    it("prints the history as JSON with --json", async () => {
        const { out } = await runExplain(["r2", "--json", ...files]);
        expect(JSON.parse(out)).toMatchObject({ requestId: "r2", own: [{ step: "request.refused" }] });
    });

    it.each([
        { name: "no request id", argv: [], code: 2 },
        { name: "an unknown flag", argv: ["r1", "--nope"], code: 2 },
        { name: "a file that does not exist", argv: ["r1", "/nonexistent/log"], code: 2 },
        { name: "a request without a log line", argv: ["r9"], code: 1 },
    ])("exits with code $code for $name", async ({ argv, code }) => {
        const all = argv.length === 1 && argv[0] === "r9" ? [...argv, ...files] : argv;
        expect((await runExplain(all)).code).toBe(code);
    });
});
