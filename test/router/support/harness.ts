import type { HostEntry, HostState, Membership } from "@skylarkmill/adapters";
import { KEYS } from "@skylarkmill/config";
import type { ServerChooser } from "@skylarkmill/policy";
import { type ServerId, type TeamId, toId } from "@skylarkmill/protocol";
import { createRouter, type Router, type RouterOptions, type RouterPorts } from "@skylarkmill/router";
import bunyan from "bunyan";
import { request } from "undici";
import { MemoryKeyValueStore } from "../../support/memory-key-value-store.ts";
import { type AgentBehaviour, FakeAgent } from "./fake-agent.ts";

const LOOPBACK = { host: "127.0.0.1", port: 0 };

/** A host list whose entries tests change directly. */
export class FakeMembership implements Membership {
    entries: HostEntry[] = [];
    private readonly listeners = new Set<() => void>();

    start(): void {}
    stop(): void {}

    hosts(): readonly HostEntry[] {
        return this.entries;
    }

    isGone(hostId: string): boolean {
        return this.entries.find(entry => entry.hostId === hostId)?.state === "gone";
    }

    ageMs(): number {
        return 0;
    }

    subscribe(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    setState(serverId: string, state: HostState): void {
        this.entries = this.entries.map(entry => entry.serverId === serverId ? { ...entry, state } : entry);
        for (const listener of this.listeners) listener();
    }
}

const SECTION = {
    team: "workshops",
    services: {
        "workshop-assistant": {
            kind: "model",
            nonIdempotent: [{ method: "POST", path: "/v1/completions" }],
            classes: { note: { priority: 6, timeoutMs: 20_000, expectedTokens: 60 } },
            models: {
                "bench-diagnosis": { memoryBytes: 1000, maxReplicas: 2, adapters: ["trike"] },
                "parts-note": { memoryBytes: 1000, maxReplicas: 1 },
            },
        },
        "parts-ledger": { kind: "plain", timeoutMs: 10_000, nonIdempotent: [{ method: "GET", path: "/draw" }] },
    },
};

export interface RouterResponse {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly text: string;
    readonly json: { error: { code: string; execution: string; message: string; retry_after_ms?: number; }; };
}

/** Returns a chooser that prefers the given servers and otherwise takes the first untried one. */
export function preferServers(first: readonly ServerId[]): ServerChooser {
    return {
        choose: (request, servers) => {
            const open = servers.filter(server => !request.triedServerIds.has(server.serverId));
            return open.find(server => first.includes(server.serverId)) ?? open[0];
        },
    };
}

/** Runs a router with two agents of the model service and two of the plain service. */
export class Harness {
    readonly store = new MemoryKeyValueStore();
    readonly membership = new FakeMembership();
    readonly agents: Record<string, FakeAgent> = {};
    readonly logged: string[] = [];
    router!: Router;
    url = "";
    ports: RouterPorts = { port: 0, operatorPort: 0, peerPort: 0 };
    /** Returns the port of an agent's peer interface; by default agents have none and are not probed. */
    peerPortOf: (serverId: string) => Promise<number> = async () => 1;
    /** Whether the key-value service contains a configuration when the router starts. */
    hasConfiguration = true;

    async start(options: Partial<RouterOptions> = {}, behaviour?: AgentBehaviour): Promise<this> {
        await this.addAgents("workshop-assistant", ["engine-1", "engine-2"], behaviour);
        await this.addAgents("parts-ledger", ["ledger-1", "ledger-2"], behaviour);
        if (this.hasConfiguration) this.store.putRecord(KEYS.config("workshops"), SECTION);
        this.putGrants("bench-diagnosis", ["engine-1", "engine-2"]);
        this.putGrants("parts-note", ["engine-1"]);
        this.router = createRouter({
            processId: toId("router-1"),
            hostId: toId("host-router-1"),
            dataCentre: toId("dc-1"),
            listen: LOOPBACK,
            operatorListen: LOOPBACK,
            peerListen: LOOPBACK,
            peerKeys: () => ["key"],
            teamTokens: () => new Map<string, TeamId>(),
            store: this.store,
            membership: this.membership,
            logger: bunyan.createLogger({
                name: "test",
                level: "debug",
                stream: { write: (line: string) => this.logged.push(line) } as unknown as NodeJS.WritableStream,
            }),
            ...options,
            limits: { probeBytesPerSecond: 0, ...options.limits },
        });
        const started = await this.router.start();
        if (started.isErr()) throw started.error;
        this.ports = started.value;
        this.url = `http://127.0.0.1:${this.ports.port}`;
        if (this.hasConfiguration) await this.untilReady();
        return this;
    }

    async stop(): Promise<void> {
        await this.router.stop();
        await Promise.all(Object.values(this.agents).map(agent => agent.stop()));
    }

    putGrants(modelId: string, serverIds: readonly string[], version = 1): void {
        const grants = serverIds.map(serverId => ({
            grantId: `${modelId}-${serverId}`,
            serverId,
            hostId: `host-${serverId}`,
            revoking: false,
        }));
        this.store.putRecord(KEYS.grants(modelId), { modelId, grants }, version);
    }

    async chat(body: object, headers: Record<string, string> = {}): Promise<RouterResponse> {
        return this.send("POST", "/v1/chat/completions", JSON.stringify(body), headers);
    }

    async send(
        method: string,
        path: string,
        body?: string,
        headers: Record<string, string> = {},
    ): Promise<RouterResponse> {
        const response = await request(this.url + path, { method: method as "GET", headers, body });
        const text = await response.body.text();
        const json = (text.startsWith("{") ? JSON.parse(text) : {}) as RouterResponse["json"];
        return { status: response.statusCode, headers: response.headers, text, json };
    }

    putDrain(hostId: string): void {
        this.store.putRecord(KEYS.drain(hostId), { hostId, requestedBy: "ops", requestedAtMs: 0 });
    }

    /** Makes the agent report in its next response that it is draining, and sends a request. */
    async reportDraining(serverId: string): Promise<void> {
        const agent = this.agents[serverId]!;
        agent.behaviour = (_request, response) => {
            response.writeHead(200, { "x-skylarkmill-load": JSON.stringify({ serverId, draining: true }) });
            response.end("{}");
        };
        await this.chat({ model: "bench-diagnosis" });
        await agent.untilReceived(1);
    }

    /** Resolves once the router has logged a line that contains the text. */
    async untilLogged(text: string): Promise<void> {
        while (!this.logged.some(line => line.includes(text))) await new Promise(resolve => setImmediate(resolve));
    }

    /** Returns the number of requests that all agents have received. */
    receivedRequestCount(): number {
        return Object.values(this.agents).reduce((sum, agent) => sum + agent.receivedRequests.length, 0);
    }

    private async addAgents(serviceId: string, serverIds: string[], behaviour?: AgentBehaviour): Promise<void> {
        for (const serverId of serverIds) {
            const agent = new FakeAgent(behaviour);
            await agent.start();
            this.agents[serverId] = agent;
            this.membership.entries.push({
                hostId: toId(`host-${serverId}`),
                dataCentre: toId("dc-1"),
                role: "backend",
                state: "live",
                address: "127.0.0.1",
                peerPort: await this.peerPortOf(serverId),
                requestPort: agent.port,
                serverId: toId(serverId),
                serviceId: toId(serviceId),
            });
        }
    }

    private async untilReady(): Promise<void> {
        for (;;) {
            const { statusCode, body } = await request(`${this.url}/readyz`);
            await body.dump();
            if (statusCode === 200) return;
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }
}
