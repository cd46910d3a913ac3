import { checkConfiguration, checkSuccession, compareConfigurations } from "@skylarkmill/gateway";
import { readConfiguration } from "@skylarkmill/platform";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { checkConfigurationFile } from "../../packages/skylarkmill/src/commands/config-check.ts";

const route = {
    name: "chat",
    host: "depot.example",
    prefix: "/chat/",
    type: "streaming",
    timeout_ms: 12_000,
    target_latency_ms: 300,
    service: "assistant",
    max_attempts: 1,
};
const model = { name: "m1", mb: 100, load_time_s: 6, adapters: 2, adapter_mb: 10 };
const engine = { slots: 8, mb: 230, max_adapters: 8, loads_per_s: 4, models: [model] };
const tenant = {
    name: "w1",
    api_keys: ["key-1"],
    unit: "token_stream",
    plain_tokens: 200,
    rate_per_s: 400,
    burst: 400,
};

function createDocument(changes: object = {}): object {
    return {
        version: 7,
        routes: [route],
        services: [{ name: "assistant", engine }, { name: "desk" }],
        tenants: [tenant],
        ...changes,
    };
}

const decode = (changes: object = {}) => readConfiguration(JSON.stringify(createDocument(changes)))._unsafeUnwrap();

describe("the check of a configuration", () => {
    it("finds nothing in a sound one", () => {
        expect(checkConfiguration(decode())).toEqual([]);
    });

    it.each([
        {
            name: "a route behind another one with its host and prefix",
            changes: { routes: [route, { ...route, name: "other", host: "DEPOT.example" }] },
            expected: ["never_matches", "route other"],
        },
        {
            name: "a host with a port",
            changes: { routes: [{ ...route, host: "depot.example:8080" }] },
            expected: ["never_matches", "route chat"],
        },
        {
            name: "a service that is missing",
            changes: { routes: [{ ...route, service: "gone" }] },
            expected: ["error", "route chat"],
        },
        {
            name: "two routes with one name",
            changes: { routes: [route, { ...route, prefix: "/other/" }] },
            expected: ["error", "route chat"],
        },
        {
            name: "a timeout below the target",
            changes: { routes: [{ ...route, type: "idempotent", timeout_ms: 200 }] },
            expected: ["contradiction", "route chat"],
        },
        {
            name: "a timeout below the time for which callers wait for an event",
            changes: { routes: [{ ...route, timeout_ms: 1_500 }] },
            expected: ["contradiction", "route chat"],
        },
        {
            name: "attempts that nothing may use",
            changes: { routes: [{ ...route, type: "non_idempotent", max_attempts: 3 }] },
            expected: ["contradiction", "route chat"],
        },
        {
            name: "a model that fits into no engine",
            changes: { services: [{ name: "assistant", engine: { ...engine, mb: 90 } }] },
            expected: ["never_matches", "service assistant, model m1"],
        },
        {
            name: "adapters that no engine takes",
            changes: { services: [{ name: "assistant", engine: { ...engine, max_adapters: 0 } }] },
            expected: ["never_matches", "service assistant, model m1"],
        },
        {
            name: "engines that may load nothing",
            changes: { services: [{ name: "assistant", engine: { ...engine, loads_per_s: 0 } }] },
            expected: ["contradiction", "service assistant"],
        },
        {
            name: "a key of two workspaces",
            changes: { tenants: [tenant, { ...tenant, name: "w2" }] },
            expected: ["error", "workspace w2"],
        },
        {
            name: "a workspace without a key",
            changes: { tenants: [{ ...tenant, api_keys: [] }] },
            expected: ["never_matches", "workspace w1"],
        },
        {
            name: "a burst smaller than one request",
            changes: { tenants: [{ ...tenant, burst: 100 }] },
            expected: ["contradiction", "workspace w1"],
        },
        {
            name: "heads without bytes",
            changes: { limits: { max_header_bytes: 0 } },
            expected: ["contradiction", "limits"],
        },
    ])("finds $name", ({ changes, expected }) => {
        const findings = checkConfiguration(decode(changes));
        expect(findings.map(({ kind, subject }) => [kind, subject])).toEqual([expected]);
    });

    it.each([
        { name: "no JSON", text: "{", expected: /^no JSON: / },
        { name: "a missing version", text: JSON.stringify({ routes: [], services: [] }), expected: /^version: / },
        {
            name: "a prefix without its last slash",
            text: JSON.stringify(createDocument({ routes: [{ ...route, prefix: "/chat" }] })),
            expected: /^routes\.0\.prefix: /,
        },
    ])("names the field of $name", ({ text, expected }) => {
        expect(readConfiguration(text)._unsafeUnwrapErr().join("\n")).toMatch(expected);
    });

    it("rejects a version that isn't above the one in force", () => {
        expect(checkSuccession(decode(), decode())).toHaveLength(1);
        expect(checkSuccession(decode(), decode({ version: 8 }))).toEqual([]);
    });
});

describe("the difference from the version in force", () => {
    it.each([
        { name: "nothing", changes: {}, expected: [] },
        {
            name: "a changed limit of a route",
            changes: { routes: [{ ...route, timeout_ms: 9_000 }] },
            expected: [{ kind: "changed", subject: "route chat", fields: ["timeoutMs: 12000 -> 9000"] }],
        },
        {
            name: "a route that is moved to another name",
            changes: { routes: [{ ...route, name: "talk" }] },
            expected: [
                { kind: "added", subject: "route talk", fields: [] },
                { kind: "removed", subject: "route chat", fields: [] },
            ],
        },
        {
            name: "keys, without naming them, and a quota",
            changes: { tenants: [{ ...tenant, api_keys: ["key-2", "key-3"], burst: 800 }] },
            expected: [{
                kind: "changed",
                subject: "workspace w1",
                fields: ["keys: 2 added, 1 removed", "quota.burst: 400 -> 800"],
            }],
        },
        {
            name: "a model's size",
            changes: {
                services: [{ name: "assistant", engine: { ...engine, models: [{ ...model, mb: 120 }] } }, {
                    name: "desk",
                }],
            },
            expected: [{
                kind: "changed",
                subject: "service assistant",
                fields: ["engine.models.m1.sizeMb: 100 -> 120"],
            }],
        },
    ])("shows $name", ({ changes, expected }) => {
        expect(compareConfigurations(decode(), decode(changes))).toEqual(expected);
    });
});

describe("skylarkmill config check", () => {
    let folder: string;
    let output: string;

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "config-check-"));
        output = "";
        const collect = (text: string | Uint8Array): boolean => {
            output += String(text);
            return true;
        };
        vi.spyOn(process.stdout, "write").mockImplementation(collect);
        vi.spyOn(process.stderr, "write").mockImplementation(collect);
    });

    afterEach(() => {
        vi.restoreAllMocks();
        rmSync(folder, { recursive: true });
    });

    const write = (name: string, document: object): string => {
        const file = join(folder, name);
        writeFileSync(file, JSON.stringify(document));
        return file;
    };

    it.each([
        { name: "a sound file", changes: {}, exitCode: 0, text: "nothing found\n" },
        {
            name: "a finding",
            changes: { routes: [{ ...route, service: "gone" }] },
            exitCode: 1,
            text: "error: route chat",
        },
    ])("ends with $exitCode for $name", async ({ changes, exitCode, text }) => {
        expect(await checkConfigurationFile([write("next.json", createDocument(changes))])).toBe(exitCode);
        expect(output).toContain(text);
    });

    it("shows what differs from the version in force, and no key", async () => {
        const inForce = write("in-force.json", createDocument());
        const next = write("next.json", createDocument({ version: 8, tenants: [{ ...tenant, api_keys: ["key-2"] }] }));
        expect(await checkConfigurationFile([next, "--in-force", inForce])).toBe(0);
        expect(output).toContain("changed: workspace w1\n    keys: 1 added, 1 removed");
        expect(output).not.toContain("key-");
    });

    it.each([{ argv: [] }, { argv: ["a", "b"] }, { argv: ["--odd"] }, { argv: ["/nowhere.json"] }])(
        "ends with 2 for $argv",
        async ({ argv }) => {
            expect(await checkConfigurationFile(argv)).toBe(2);
        },
    );
});
