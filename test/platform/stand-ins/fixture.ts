import type { Logger } from "@skylarkmill/coordination";
import { Gateway } from "@skylarkmill/gateway";
import { type PlatformSettings, toGatewayOptions } from "@skylarkmill/platform";
import { DemandEngineModelsPolicy } from "@skylarkmill/policy";
import { Agent, request as undiciRequest } from "undici";
import { eventually } from "../../support/eventually.ts";
import { findFreePort } from "../../support/free-ports.ts";
import { GatewayLinks } from "./gateway-links.ts";
import { GATEWAY_HEADER, type PlatformServerOptions, PlatformServerStandIn } from "./platform-server.ts";
import { PlatformStoreStandIn } from "./platform-store.ts";

export const HOST = "depot.example";
/** Time within which a gateway in touch with the others knows what they know. */
export const CONTACT_MS = 3_000;

export interface LogLine {
    readonly step?: string;
    readonly [field: string]: unknown;
}

export interface CallOptions {
    readonly method?: "GET" | "HEAD" | "POST";
    readonly headers?: Record<string, string>;
    readonly body?: string;
    readonly signal?: AbortSignal;
}

export interface CallResult {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly text: string;
    /** Whether the response ended before it was complete. */
    readonly isTruncated: boolean;
}

/** Creates the operators' configuration document that the tests start with. */
export function createConfigurationDocument(
    version = 1,
    changes: Record<string, unknown> = {},
    timeoutMs = 2_000,
): Record<string, unknown> {
    const route = (name: string, type: string, service: string, more: object = {}): object => ({
        name,
        host: HOST,
        prefix: `/${name}/`,
        type,
        timeout_ms: timeoutMs,
        target_latency_ms: 400,
        priority: 1,
        service,
        max_attempts: 2,
        ...more,
    });
    const models = ["m1", "m2", "m3", "m4"].map(name => ({
        name,
        mb: 40,
        load_time_s: 0.3,
        adapters: 3,
        adapter_mb: 1,
        warm_s: 0.05,
        disk_s: 0.06,
    }));
    return {
        version,
        routes: [
            route("chat", "streaming", "assistant", { resumable: true, gap_aim_ms: 150 }),
            route("draft", "streaming", "assistant", { resumable: false, max_attempts: 1 }),
            route("orders", "non_idempotent", "desk", { max_attempts: 1 }),
            route("lookup", "idempotent", "desk"),
        ],
        services: [
            { name: "assistant", engine: { slots: 8, mb: 100, max_adapters: 2, loads_per_s: 4, models } },
            { name: "desk", max_connections: 50 },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 4_096, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        ...changes,
    };
}

interface RunningGateway {
    readonly gateway: Gateway;
    readonly settings: PlatformSettings;
    readonly log: LogLine[];
}

/** Runs gateways, backend server stand-ins and a store stand-in on sockets of this process. */
export class PlatformFixture {
    readonly gateways: RunningGateway[] = [];
    readonly servers: PlatformServerStandIn[] = [];
    /** Retries in addition to the ratio that the settings of gateways allow. */
    retrySlack = 58;
    private readonly agent = new Agent({ keepAliveTimeout: 1_000 });
    private nextId = 1;

    private constructor(readonly store: PlatformStoreStandIn, private readonly links: GatewayLinks | undefined) {}

    /** `canCutGateways` makes all asynchronous work of this process slower. */
    static async start({ canCutGateways = false } = {}): Promise<PlatformFixture> {
        const links = canCutGateways ? await GatewayLinks.start() : undefined;
        const fixture = new PlatformFixture(await PlatformStoreStandIn.start(), links);
        fixture.store.put("op/config", createConfigurationDocument());
        return fixture;
    }

    async addServer(options: PlatformServerOptions): Promise<PlatformServerStandIn> {
        const server = await PlatformServerStandIn.start(options);
        this.servers.push(server);
        this.store.put(`servers/${server.id}`, server.toServerRecord());
        server.onRestart = () => this.store.put(`servers/${server.id}`, server.toServerRecord());
        return server;
    }

    /** Creates the settings of a gateway on free ports. */
    async createSettings(name: string): Promise<PlatformSettings> {
        const [front, ready, control] = [await findFreePort(), await findFreePort(), await findFreePort()];
        const listen = (port: number): { host: string; port: number; } => ({ host: "127.0.0.1", port });
        const bounds = {
            grace_s: 6,
            lease_ms: 3_000,
            drain_ms: 2_000,
            contact_ms: CONTACT_MS,
            config_apply_ms: 2_000,
            require_fence: true,
            retry_budget_ratio: 0.2,
            retry_slack: this.retrySlack,
            budget_window_s: 10,
            quota_window_s: 0,
        };
        return {
            node_name: name,
            zone: "z1",
            listen_addrs: { front: listen(front), ready: listen(ready), control: listen(control) },
            seeds: this.gateways.map(existing => `127.0.0.1:${existing.settings.listen_addrs.control.port}`),
            heartbeat_ms: 1_200,
            limits: { cpu_share: 1, cores: 1, memory_mb: 256, max_fds: 4_096 },
            bounds,
            provider: { address: this.store.address },
        };
    }

    async addGateway(name: string, shouldWaitUntilReady = true): Promise<number> {
        const running = await this.startGateway(await this.createSettings(name));
        const index = this.gateways.push(running) - 1;
        if (shouldWaitUntilReady) await this.waitUntilReady(index);
        return index;
    }

    /** Stops the gateway and starts another one with its settings. */
    async restartGateway(index: number): Promise<void> {
        const { gateway, settings } = this.gateways[index]!;
        await gateway.stop();
        this.gateways[index] = await this.startGateway(settings);
        await this.waitUntilReady(index);
    }

    /** Cuts the gateway from its peers or from the store, in place of earlier cuts; its callers and servers reach it. */
    cutGateway(index: number, from: "peers" | "store"): void {
        const { node_name: name, listen_addrs: listen } = this.gateways[index]!.settings;
        if (this.links === undefined) throw new Error("the fixture was started without canCutGateways");
        const portsOfPeers = this.gateways.map(({ settings }) => settings.listen_addrs.control.port);
        const storePort = Number(this.store.address.split(":")[1]);
        this.links.cut(({ owner, port }) => {
            if (from === "store") return owner === name && port === storePort;
            return owner === name ? portsOfPeers.includes(port) : port === listen.control.port;
        });
    }

    private async waitUntilReady(index: number): Promise<void> {
        const { gateway } = this.gateways[index]!;
        await eventually("the gateway is ready", () => gateway.isReady ? true : undefined, 4_000);
    }

    private async startGateway(settings: PlatformSettings): Promise<RunningGateway> {
        const log: LogLine[] = [];
        const write = (fields: object, message: string): void => void log.push({ ...fields, message });
        const logger: Logger = { debug: write, info: write, warn: write, error: write };
        const options = toGatewayOptions(settings, {
            maxStoreLoadCount: 4,
            enginePolicy: new DemandEngineModelsPolicy(),
            serverRanking: "least_load",
            logger,
        });
        const run = <T>(start: () => T): T =>
            this.links === undefined ? start() : this.links.run(settings.node_name, start);
        const gateway = run(() => new Gateway(options));
        const started = await run(() => gateway.start());
        if (started.isErr()) throw started.error;
        return { gateway, settings, log };
    }

    /** Waits until the gateway lists the server as available, or no longer does. */
    async waitUntilServerAvailable(index: number, serverId: string, shouldBeAvailable = true): Promise<void> {
        await eventually(`server ${serverId} is ${shouldBeAvailable ? "available" : "unavailable"}`, () => {
            const status = this.gateways[index]!.gateway.status() as {
                servers: { serverId: string; draining: boolean; }[];
            };
            const isAvailable = status.servers.some(server => server.serverId === serverId && !server.draining);
            return isAvailable === shouldBeAvailable ? true : undefined;
        }, 4_000);
    }

    newId(): string {
        return `attempt-${this.nextId++}`;
    }

    frontPort(index: number): number {
        return this.gateways[index]!.settings.listen_addrs.front.port;
    }

    async call(index: number, path: string, options: CallOptions = {}): Promise<CallResult> {
        const response = await undiciRequest(`http://127.0.0.1:${this.frontPort(index)}${path}`, {
            dispatcher: this.agent,
            method: options.method ?? "POST",
            headers: {
                host: HOST,
                "x-attempt-id": this.newId(),
                "x-deadline-ms": "2000",
                [GATEWAY_HEADER]: this.gateways[index]!.settings.node_name,
                ...options.headers,
            },
            ...(options.body === undefined ? {} : { body: options.body }),
            ...(options.signal === undefined ? {} : { signal: options.signal }),
        });
        const chunks: Buffer[] = [];
        let isTruncated = false;
        try {
            for await (const chunk of response.body) chunks.push(chunk as Buffer);
        }
        catch (error) {
            if (options.signal?.aborted === true) throw error;
            isTruncated = true;
        }
        return {
            status: response.statusCode,
            headers: response.headers,
            text: Buffer.concat(chunks).toString(),
            isTruncated,
        };
    }

    async fetchReadyStatus(index: number): Promise<number> {
        const { port } = this.gateways[index]!.settings.listen_addrs.ready;
        const response = await undiciRequest(`http://127.0.0.1:${port}/api/ready`, { dispatcher: this.agent });
        await response.body.dump();
        return response.statusCode;
    }

    async close(): Promise<void> {
        await this.agent.destroy();
        await Promise.all(this.gateways.map(({ gateway }) => gateway.stop()));
        await Promise.all(this.servers.map(server => server.close()));
        await this.store.close();
        await this.links?.close();
    }
}
