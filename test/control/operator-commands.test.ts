import { serve } from "@hono/node-server";
import { runOperatorCommand } from "@skylarkmill/control";
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { request } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPlainSection, OperatorHarness, type OperatorTestClient, TOKENS } from "./operator-fixture.ts";

const sectionWithTimeout = (timeoutMs: number) => createPlainSection("parts", { "parts-ledger": { timeoutMs } });

describe("operators' commands", () => {
    const servers: { close(): unknown; }[] = [];
    let harness: OperatorHarness;
    let operator: OperatorTestClient;
    let files: Record<string, unknown>;

    const waitUntilListening = (
        server: { readonly listening: boolean; once(event: "listening", listener: () => void): unknown; },
    ) => new Promise<void>(resolve => (server.listening ? resolve() : server.once("listening", resolve)));

    async function listen(fetch: OperatorTestClient["fetch"]): Promise<string> {
        const server = serve({ fetch, port: 0, hostname: "127.0.0.1", overrideGlobalObjects: false });
        servers.push(server);
        await waitUntilListening(server);
        return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    /** Starts a server that closes each connection when it receives a request. */
    async function listenAndCloseConnections(): Promise<string> {
        const server: Server = createServer(socket => socket.once("data", () => socket.destroy()));
        server.listen(0, "127.0.0.1");
        servers.push(server);
        await waitUntilListening(server);
        return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    async function runCommand(command: string, routers: readonly string[], environment: Record<string, string> = {}) {
        const lines: string[] = [];
        const exitCode = await runOperatorCommand([...command.split(" "), "--router", routers.join(",")], {
            environment: { SKYLARKMILL_TOKEN: TOKENS.parts, ...environment },
            readFile: path => {
                if (files[path] === undefined) throw new Error("no such file");
                return JSON.stringify(files[path]);
            },
            print: text => void lines.push(text),
            printError: text => void lines.push(text),
        });
        return { exitCode, text: lines.join("\n") };
    }

    beforeEach(async () => {
        harness = new OperatorHarness();
        operator = await harness.addRouter();
        await operator.put("parts", 0, "e-1", createPlainSection("parts"));
        files = {
            "same.json": createPlainSection("parts"),
            "new.json": sectionWithTimeout(5_000),
            "bad.json": { team: "parts", services: { S: {} } },
        };
    });
    afterEach(() => {
        for (const server of servers.splice(0)) server.close();
    });

    // Guards against commands that report success without effect, or don't show what they changed.
    const cases = [
        { command: "config get", exitCode: 0, text: '"parts-ledger"' },
        { command: "config get none", exitCode: 1, text: "unknown_section" },
        { command: "config status", exitCode: 0, text: "host-a" },
        { command: "audit --section parts", exitCode: 0, text: "parts  0 -> 1  parts  edit e-1" },
        { command: "status", exitCode: 0, text: "parts-ledger  plain  parts" },
        { command: "status --json", exitCode: 0, text: '"problems"' },
        { command: "drain host-a", exitCode: 0, text: "Requests in progress: 3." },
        { command: "drain host-x", exitCode: 1, text: "unknown_host" },
        {
            command: "config apply new.json --section parts",
            exitCode: 0,
            text: "timeoutMs: 30000 -> 5000\nSection parts is at version 2.",
        },
        {
            command: "config apply new.json --section parts --dry-run",
            exitCode: 0,
            text: "timeoutMs: 30000 -> 5000\nNothing was written.",
        },
        {
            command: "config apply same.json --section parts",
            exitCode: 0,
            text: "No changes.\nSection parts remains at version 1.",
        },
        { command: "config apply bad.json --section parts", exitCode: 2, text: "services.S" },
        { command: "config apply none.json --section parts", exitCode: 2, text: "no such file" },
        { command: "config apply new.json --section parts --version 0", exitCode: 3, text: "version 1 by parts" },
        { command: "config apply", exitCode: 2, text: "--section (SKYLARKMILL_SECTION): not set" },
        { command: "audit --limit 0 --colour red extra", exitCode: 2, text: 'unexpected argument "extra"' },
        { command: "audit --limit 0 --colour red", exitCode: 2, text: '"0" is not accepted' },
        { command: "drain --help", exitCode: 0, text: "--end" },
        { command: "config", exitCode: 2, text: "unknown command" },
    ];
    it.each(cases)("$command: $exitCode", async ({ command, exitCode, text }) => {
        const result = await runCommand(command, [await listen(request => operator.fetch(request))]);
        expect(result.text).toContain(text);
        expect(result.exitCode).toBe(exitCode);
    });

    // Guards against an editor who overwrites changes made after the version in the file.
    it("refuses a file of an older version and lists the changes since then", async () => {
        const router = await listen(request => operator.fetch(request));
        const got = JSON.parse((await runCommand("config get parts", [router])).text) as { section: object; };
        files["got.json"] = { ...got, section: sectionWithTimeout(9_000) };
        await operator.put("parts", 1, "e-2", sectionWithTimeout(7_000));
        const result = await runCommand("config apply got.json --section parts", [router]);
        expect(result.exitCode).toBe(3);
        expect(result.text).toContain("services.parts-ledger.timeoutMs: 30000 -> 7000");
    });

    // Guards against an edit that is reported as failed although it took effect, or as successful although it did not.
    const lostCases = [
        { name: "the response was lost", takesEffect: true, exitCode: 0, text: "version 2" },
        { name: "the request was lost", takesEffect: false, exitCode: 1, text: "nothing was changed" },
    ];
    it.each(lostCases)("reports whether the edit took effect when $name", async ({ takesEffect, exitCode, text }) => {
        const router = await listen(async request => {
            if (request.method !== "PUT") return operator.fetch(request);
            if (takesEffect) await operator.fetch(request);
            return Response.json({ error: { code: "lost", message: "lost" }, outcome: "unknown" }, { status: 503 });
        });
        const result = await runCommand("config apply new.json --section parts", [router]);
        expect(result).toMatchObject({ exitCode, text: expect.stringContaining(text) as string });
    });

    // Guards against repeating an edit at another router after one has reported that it was not accepted.
    it("stops at a router that reports that the edit did not take effect", async () => {
        const body = { error: { code: "write_failed", message: "no effect" }, outcome: "not_accepted" };
        const failing = await listen(request =>
            request.method === "PUT" ? Response.json(body, { status: 503 }) : operator.fetch(request)
        );
        const other = await listen(request => operator.fetch(request));
        const result = await runCommand("config apply new.json --section parts", [failing, other]);
        expect(result).toMatchObject({ exitCode: 1, text: expect.stringContaining("nothing was changed") as string });
        expect((await operator.call("GET", "/operator/config/parts")).body["version"]).toBe(1);
    });

    // Guards against mishandling bodies with chunked transfer encoding, whose size is not known in advance.
    const chunkedCases = [
        {
            method: "PUT",
            path: "config/parts",
            chunk: JSON.stringify(sectionWithTimeout(5_000)),
            count: 1,
            status: 200,
        },
        { method: "PUT", path: "config/parts", chunk: " ".repeat(1_000_000), count: 5, status: 413 },
        { method: "PUT", path: "config/parts", chunk: "", count: 0, status: 400 },
        { method: "DELETE", path: "drains/host-a", chunk: "", count: 0, status: 200 },
    ] as const;
    it.each(chunkedCases)("$method $path in $count chunks: $status", async ({ method, path, chunk, count, status }) => {
        const router = await listen(request => operator.fetch(request));
        const response = await request(`http://${router}/operator/${path}`, {
            method,
            headers: { "authorization": `Bearer ${TOKENS.parts}`, "if-match": "1", "x-edit-id": "chunked" },
            body: Readable.from(Array.from({ length: count }, () => chunk)),
        });
        expect(response.statusCode, await response.body.text()).toBe(status);
    });

    // Guards against a command that fails although another router responds.
    it("tries the next router if one does not respond", async () => {
        const router = await listen(request => operator.fetch(request));
        for (const broken of ["127.0.0.1:1", await listenAndCloseConnections()]) {
            expect((await runCommand("config status", [broken, router])).exitCode).toBe(0);
        }
        expect(await runCommand("config status", ["127.0.0.1:1"])).toMatchObject({ exitCode: 1 });
    });

    // Guards against a token that is exposed in an error message.
    it("never prints the token", async () => {
        const router = await listen(request => operator.fetch(request));
        for (const token of ["wrong-secret", "two words"]) {
            const result = await runCommand("status", [router], { SKYLARKMILL_TOKEN: token });
            expect(result.exitCode).not.toBe(0);
            expect(result.text).not.toContain(token);
        }
    });
});
