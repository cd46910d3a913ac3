import { createRandom, type RandomSource } from "@skylarkmill/policy";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createConfigurationDocument, HOST, PlatformFixture } from "../platform/stand-ins/fixture.ts";
import type { StoreCopy, StoreOutage } from "../platform/stand-ins/platform-store.ts";
import { callRaw, KeptConnection, type RawCall, type RawResult } from "../support/raw-caller.ts";
import { checkCall, EVENT_COUNT, hasOutlastedStop, type SoakCall, STREAM_PATHS } from "./check-call.ts";
import { GatewayRunner } from "./gateway-runner.ts";
import { createPlan, type SoakKind, type Step } from "./plan.ts";

export interface SoakOptions {
    readonly seed: number;
    readonly gatewayCount: number;
    readonly durationMs: number;
    /** Around planned work alone no request may be lost. */
    readonly kind: SoakKind;
    /** Folder for settings files and, after a violation, the plan and the logs of the processes. */
    readonly folder: string;
}

export interface SoakReport {
    /** Number of calls that got a response, and of those that got a whole one with status 200. */
    readonly answerCount: number;
    readonly completeCount: number;
    readonly violations: readonly string[];
}

const CALLER_COUNT = 24;
const CALLER_PAUSE_MS = 20;
const MAX_READ_DELAY_MS = 1_500;
const MAX_RESUMPTIONS = 3;
const DEADLINE_MS = "7000";
const ROUTE_TIMEOUT_MS = 10_000;
/** Streams last from 0.2 to 4.8 s; in planned work up to 0.8 s, so that each fits into a stop. */
const EVENT_INTERVALS_MS = [5, 40, 120];
const PLANNED_EVENT_INTERVALS_MS = [5, 10, 20];
/** Exceeds what the sockets between gateway and caller hold. */
const BULK_BYTES = 4 * 1024 * 1024;
const PATHS = [...STREAM_PATHS, ...STREAM_PATHS, "/orders/x", "/orders/x", "/lookup/x", "/bulk/x"];
/** Time after the starts within which the gateways read the servers' entries. */
const SETTLE_MS = 2_000;
const COPY_INTERVAL_MS = 500;
/** Time for the last stop and restart, and for a gateway to know the configuration. */
const CONFIGURATION_MS = 10_000;

/** Runs gateways as processes through a random plan, with callers of several kinds, and checks what they saw. */
export class Soak {
    private readonly calls: SoakCall[] = [];
    private readonly gateways: GatewayRunner[] = [];
    private readonly random: RandomSource;
    private isEnding = false;
    private version = 1;
    private document: object = {};
    private readonly copies: { readonly atMs: number; readonly copy: StoreCopy; }[] = [];

    private constructor(private readonly options: SoakOptions, private readonly fixture: PlatformFixture) {
        this.random = createRandom(options.seed);
    }

    static async run(options: SoakOptions): Promise<SoakReport> {
        const soak = new Soak(options, await PlatformFixture.start());
        return await soak.run().finally(() => soak.close());
    }

    private async close(): Promise<void> {
        await Promise.all(this.gateways.map(gateway => gateway.stop()));
        await this.fixture.close();
    }

    private async run(): Promise<SoakReport> {
        const { gatewayCount, durationMs, kind, folder } = this.options;
        const isPlanned = kind === "planned";
        mkdirSync(folder, { recursive: true });
        await this.startFleet();
        const plan = createPlan(this.random, gatewayCount, durationMs, kind);
        void this.copyStore();
        const callers = Array.from({ length: CALLER_COUNT }, (_, index) => this.runCaller(index));
        const startedAtMs = performance.now();
        for (const step of plan) {
            await sleep(startedAtMs + step.atMs - performance.now());
            this.applyStep(step);
        }
        this.isEnding = true;
        this.fixture.store.outage = "none";
        for (const gateway of this.gateways) gateway.endSlowDown();
        await Promise.all(callers);
        const outdated = await this.listOutdated();
        await Promise.all(this.gateways.map(gateway => gateway.stop()));
        const violations = this.calls.flatMap(call => checkCall(call, this.fixture.servers, isPlanned));
        violations.push(...outdated, ...this.gateways.flatMap(gateway => gateway.violations));
        if (violations.length > 0) this.writeRecords(plan, violations);
        const answers = this.calls.filter(({ result }) => result !== undefined && result.status > 0);
        const completeCount = answers.filter(({ result }) => result!.status === 200 && result!.isComplete).length;
        return { answerCount: answers.length, completeCount, violations };
    }

    private async startFleet(): Promise<void> {
        this.applyConfiguration(ROUTE_TIMEOUT_MS);
        const intervals = this.options.kind === "planned" ? PLANNED_EVENT_INTERVALS_MS : EVENT_INTERVALS_MS;
        for (const [index, eventIntervalMs] of intervals.entries()) {
            const pace = { eventIntervalMs, responseDelayMs: 30 * index };
            const common = { ...pace, eventCount: EVENT_COUNT, namesRequests: true };
            await this.fixture.addServer({ id: `e${index}`, service: "assistant", models: ["m1"], ...common });
            await this.fixture.addServer({ id: `d${index}`, service: "desk", ...common });
            await this.fixture.addServer({ id: `b${index}`, service: "bulk", bodyByteCount: BULK_BYTES, ...common });
        }
        for (let index = 0; index < this.options.gatewayCount; index += 1) {
            const settings = await this.fixture.createSettings(`edge-${index}`);
            this.gateways.push(new GatewayRunner(settings, this.options.folder));
            this.gateways.at(-1)!.start();
            await this.gateways.at(-1)!.waitForLine(/"step":"start"/);
        }
        await sleep(SETTLE_MS);
    }

    private applyConfiguration(timeoutMs: number): void {
        this.version += 1;
        const document = createConfigurationDocument(this.version, {}, timeoutMs);
        const routes = document["routes"] as { readonly name: string; }[];
        const orders = routes.find(({ name }) => name === "orders");
        routes.push({ ...orders, name: "bulk", ...{ prefix: "/bulk/", service: "bulk" } });
        (document["services"] as object[]).push({ name: "bulk", max_connections: 50 });
        this.document = document;
        this.fixture.store.put("op/config", document);
    }

    private applyStep(step: Step): void {
        if (step.kind === "configuration") this.applyConfiguration(step.timeoutMs);
        else if (step.kind === "signal") this.gateways[step.gateway]!.signal(step.signal);
        else if (step.kind === "settings") void this.gateways[step.gateway]!.rewriteSettings(step.durationMs);
        else if (step.kind === "slow") void this.gateways[step.gateway]!.slowDown(step.durationMs);
        else if (step.kind === "outage") void this.interruptStore(step.outage, step.durationMs);
        else if (step.kind === "restore") void this.restoreStore(step.copyAgeMs, step.durationMs);
        else for (const server of this.fixture.servers) server.faults.push(step.fault);
    }

    private async interruptStore(outage: StoreOutage, durationMs: number): Promise<void> {
        this.fixture.store.outage = outage;
        await sleep(durationMs);
        this.fixture.store.outage = "none";
    }

    /** Restores the data of a moment; the operator and the servers then write theirs again. */
    private async restoreStore(copyAgeMs: number, durationMs: number): Promise<void> {
        const { store, servers } = this.fixture;
        const copyAtMs = performance.now() - copyAgeMs;
        await this.interruptStore("reset", durationMs);
        const { copy } = this.copies.findLast(({ atMs }) => atMs <= copyAtMs) ?? this.copies[0]!;
        store.restore(copy);
        for (const server of servers) store.put(`servers/${server.id}`, server.toServerRecord());
        store.put("op/config", this.document);
    }

    /** Copies the service's data at intervals until the soak ends. */
    private async copyStore(): Promise<void> {
        while (!this.isEnding) {
            this.copies.push({ atMs: performance.now(), copy: this.fixture.store.copyData() });
            await sleep(COPY_INTERVAL_MS);
        }
    }

    /** Waits until each gateway has the newest configuration; returns those that have an older one. */
    private async listOutdated(): Promise<string[]> {
        const endMs = performance.now() + CONFIGURATION_MS;
        for (;;) {
            const versions = await Promise.all(this.gateways.map(gateway => gateway.fetchConfigurationVersion()));
            const outdated = this.gateways.map(({ spec }, index) => `${spec.name} has configuration ${versions[index]}`)
                .filter((_, index) => versions[index] !== this.version);
            if (outdated.length === 0 || performance.now() >= endMs) return outdated;
            await sleep(CALLER_PAUSE_MS);
        }
    }

    /** Callers with an even number use a connection for as long as it is open, the others one for each request. */
    private async runCaller(index: number): Promise<void> {
        while (!this.isEnding) {
            if (index % 2 === 0) await this.useConnection(this.pick(this.gateways));
            else await this.callAndResume();
            await sleep(CALLER_PAUSE_MS);
        }
    }

    private async useConnection(gateway: GatewayRunner): Promise<void> {
        const connection = new KeptConnection(gateway.port);
        let isLast = false;
        while (connection.isOpen && !this.isEnding && !isLast) {
            const result = await this.call(gateway, this.pick(PATHS), "1.1", 0, call => connection.send(call));
            isLast = result === undefined || result.isLast;
            await sleep(this.random.index(CALLER_PAUSE_MS));
        }
        connection.close();
    }

    /** Sends a request; a stream that breaks and may be resumed is resumed at any gateway. */
    private async callAndResume(): Promise<void> {
        const path = this.pick(PATHS);
        const version = this.pick(["1.0", "1.1", "1.1"] as const);
        let lastEventId = 0;
        for (let count = 0; count <= MAX_RESUMPTIONS && lastEventId < EVENT_COUNT; count += 1) {
            const result = await this.call(this.pick(this.gateways), path, version, lastEventId, callRaw);
            if (path !== "/chat/x" || result?.status !== 200 || result.isComplete) return;
            lastEventId += result.text.split("\n\n").length - 1;
        }
    }

    private async call(
        { port, spec, killedAtMs, terminatedAtMs }: GatewayRunner,
        path: string,
        version: "1.0" | "1.1",
        lastEventId: number,
        send: (call: RawCall) => Promise<RawResult>,
    ): Promise<RawResult | undefined> {
        const id = this.fixture.newId();
        const headers: Record<string, string> = { "host": HOST, "x-attempt-id": id, "x-deadline-ms": DEADLINE_MS };
        if (STREAM_PATHS.includes(path)) headers["x-model"] = "m1";
        if (lastEventId > 0) headers["last-event-id"] = String(lastEventId);
        const readDelayMs = path === "/bulk/x" ? this.random.index(MAX_READ_DELAY_MS) : 0;
        const sentAtMs = performance.now();
        // A connection that can't be opened or written has brought no response.
        const result = await send({ port, path, version, headers, readDelayMs }).catch(() => undefined);
        const tookMs = performance.now() - sentAtMs;
        const wasKilled = killedAtMs.some(atMs => atMs >= sentAtMs);
        const outlastedStop = hasOutlastedStop(sentAtMs, sentAtMs + tookMs, terminatedAtMs);
        this.calls.push({
            id,
            path,
            version,
            gateway: spec.name,
            lastEventId,
            tookMs,
            result,
            wasKilled,
            hasOutlastedStop: outlastedStop,
        });
        return result;
    }

    private writeRecords(plan: readonly Step[], violations: readonly string[]): void {
        const write = (name: string, text: string): void => writeFileSync(join(this.options.folder, name), text);
        write("violations.txt", violations.join("\n"));
        write("plan.json", JSON.stringify(plan, undefined, 1));
        for (const { spec, lines } of this.gateways) write(`${spec.name}.log`, lines.join("\n"));
    }

    private pick<T>(items: readonly T[]): T {
        return items[this.random.index(items.length)]!;
    }
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, durationMs)));
}
