import { serve } from "@hono/node-server";
import { runOperatorCommand } from "@skylarkmill/control";
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { request } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type Operator, OperatorWorld, plainSection, TOKENS } from "./operator-fixture.ts";

const edited = (timeoutMs: number) => plainSection("parts", { "parts-ledger": { timeoutMs } });

describe("operators' commands", () => {
    const servers: { close(): unknown; }[] = [];
    let world: OperatorWorld;
    let operator: Operator;
    let files: Record<string, unknown>;

    const listening = (
        server: { readonly listening: boolean; once(event: "listening", listener: () => void): unknown; },
    ) => new Promise<void>(resolve => (server.listening ? resolve() : server.once("listening", resolve)));

    async function listen(fetch: Operator["fetch"]): Promise<string> {
        const server = serve({ fetch, port: 0, hostname: "127.0.0.1", overrideGlobalObjects: false });
        servers.push(server);
        await listening(server);
        return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    /** Accepts a connection and closes it once a request came in. */
    async function listenAndHangUp(): Promise<string> {
        const server: Server = createServer(socket => socket.once("data", () => socket.destroy()));
        server.listen(0, "127.0.0.1");
        servers.push(server);
        await listening(server);
        return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    async function run(command: string, routers: readonly string[], environment: Record<string, string> = {}) {
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
        world = new OperatorWorld();
        operator = await world.operator();
        await operator.put("parts", 0, "e-1", plainSection("parts"));
        files = {
            "same.json": plainSection("parts"),
            "new.json": edited(5_000),
            "bad.json": { team: "parts", services: { S: {} } },
        };
    });
    afterEach(() => {
        for (const server of servers.splice(0)) server.close();
    });

    // Guards against commands that report success without effect, or hide what they changed.
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
            text: "No difference.\nSection parts stays at version 1.",
        },
        { command: "config apply bad.json --section parts", exitCode: 2, text: "services.S" },
        { command: "config apply none.json --section parts", exitCode: 2, text: "no such file" },
        { command: "config apply new.json --section parts --version 0", exitCode: 3, text: "version 1 by parts" },
        { command: "config apply", exitCode: 2, text: "--section (SKYLARKMILL_SECTION): not set" },
        { command: "audit --limit 0 --colour red extra", exitCode: 2, text: '"extra" is one too many' },
        { command: "audit --limit 0 --colour red", exitCode: 2, text: '"0" is not accepted' },
        { command: "drain --help", exitCode: 0, text: "--end" },
        { command: "config", exitCode: 2, text: "unknown command" },
    ];
    it.each(cases)("$command: $exitCode", async ({ command, exitCode, text }) => {
        const result = await run(command, [await listen(request => operator.fetch(request))]);
        expect(result.text).toContain(text);
        expect(result.exitCode).toBe(exitCode);
    });

    // Guards against a second editor who overwrites what came after the version in the file.
    it("refuses a file of an older version and says what changed meanwhile", async () => {
        const router = await listen(request => operator.fetch(request));
        const got = JSON.parse((await run("config get parts", [router])).text) as { section: object; };
        files["got.json"] = { ...got, section: edited(9_000) };
        await operator.put("parts", 1, "e-2", edited(7_000));
        const result = await run("config apply got.json --section parts", [router]);
        expect(result.exitCode).toBe(3);
        expect(result.text).toContain("services.parts-ledger.timeoutMs: 30000 -> 7000");
    });

    // Guards against an edit that is reported as failed although it took effect, or the other way round.
    const lost = [
        { name: "the answer was lost", takesEffect: true, exitCode: 0, text: "version 2" },
        { name: "the request was lost", takesEffect: false, exitCode: 1, text: "nothing was changed" },
    ];
    it.each(lost)("says whether the edit took effect when $name", async ({ takesEffect, exitCode, text }) => {
        const router = await listen(async request => {
            if (request.method !== "PUT") return operator.fetch(request);
            if (takesEffect) await operator.fetch(request);
            return Response.json({ error: { code: "lost", message: "lost" }, outcome: "unknown" }, { status: 503 });
        });
        const result = await run("config apply new.json --section parts", [router]);
        expect(result).toMatchObject({ exitCode, text: expect.stringContaining(text) as string });
    });

    // Guards against a second attempt at an edit that was declared not accepted.
    it("stops at a router that says the edit did not take effect", async () => {
        const body = { error: { code: "write_failed", message: "no effect" }, outcome: "not_accepted" };
        const failing = await listen(request =>
            request.method === "PUT" ? Response.json(body, { status: 503 }) : operator.fetch(request)
        );
        const other = await listen(request => operator.fetch(request));
        const result = await run("config apply new.json --section parts", [failing, other]);
        expect(result).toMatchObject({ exitCode: 1, text: expect.stringContaining("nothing was changed") as string });
        expect((await operator.call("GET", "/operator/config/parts")).body["version"]).toBe(1);
    });

    // Guards against clients that send a body in chunks, for which the size is not known beforehand.
    const chunked = [
        { method: "PUT", path: "config/parts", chunk: JSON.stringify(edited(5_000)), count: 1, status: 200 },
        { method: "PUT", path: "config/parts", chunk: " ".repeat(1_000_000), count: 5, status: 413 },
        { method: "PUT", path: "config/parts", chunk: "", count: 0, status: 400 },
        { method: "DELETE", path: "drains/host-a", chunk: "", count: 0, status: 200 },
    ] as const;
    it.each(chunked)("$method $path in $count chunks: $status", async ({ method, path, chunk, count, status }) => {
        const router = await listen(request => operator.fetch(request));
        const response = await request(`http://${router}/operator/${path}`, {
            method,
            headers: { "authorization": `Bearer ${TOKENS.parts}`, "if-match": "1", "x-edit-id": "chunked" },
            body: Readable.from(Array.from({ length: count }, () => chunk)),
        });
        expect(response.statusCode, await response.body.text()).toBe(status);
    });

    // Guards against a command that gives up although another router answers.
    it("goes on to the next router", async () => {
        const router = await listen(request => operator.fetch(request));
        for (const broken of ["127.0.0.1:1", await listenAndHangUp()]) {
            expect((await run("config status", [broken, router])).exitCode).toBe(0);
        }
        expect(await run("config status", ["127.0.0.1:1"])).toMatchObject({ exitCode: 1 });
    });

    // Guards against a token in an error message.
    it("never prints the token", async () => {
        const router = await listen(request => operator.fetch(request));
        for (const token of ["wrong-secret", "two words"]) {
            const result = await run("status", [router], { SKYLARKMILL_TOKEN: token });
            expect(result.exitCode).not.toBe(0);
            expect(result.text).not.toContain(token);
        }
    });
});
