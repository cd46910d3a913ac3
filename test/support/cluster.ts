import { createEtcdKeyValueStore } from "@skylarkmill/adapters";
import { encodeStoredRecord } from "@skylarkmill/coordination";
import { type EditId, toId } from "@skylarkmill/protocol";
import { createFaultProxy, type FaultProxy, type JournalEvent, type ProxyFaults } from "@skylarkmill/stand-ins";
import { randomUUID } from "node:crypto";
import { request } from "undici";
import {
    type ClusterOptions,
    createLayout,
    createLoopbackAddress,
    type Link,
    type Member,
    resolveClusterOptions,
    type ResolvedClusterOptions,
    toHostEntry,
} from "./cluster-layout.ts";
import { eventually } from "./eventually.ts";
import { SpawnedProcess } from "./spawned-process.ts";

export interface CallResult {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

export interface CallOptions {
    readonly method?: "GET" | "POST" | "PUT" | "DELETE";
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly signal?: AbortSignal;
}

export interface ChatOptions {
    readonly router?: string;
    readonly model: string;
    readonly message?: string;
    readonly stream?: boolean;
    readonly maxTokens?: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
}

export const PEER_KEY = "cluster-peer-key";
export const TEAM_TOKEN = "cluster-team-token";

/** Makes one HTTP call; a broken connection rejects. */
export async function call(url: string, options: CallOptions = {}): Promise<CallResult> {
    const { method = "GET", headers = {}, body, signal } = options;
    const response = await request(url, {
        method,
        headers: body === undefined ? headers : { "content-type": "application/json", ...headers },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        ...(signal === undefined ? {} : { signal }),
    });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
}

/** Runs the system as real processes on the loopback interface, with optional fault proxies between any two. */
export class Cluster {
    readonly address = createLoopbackAddress();
    readonly processes = new Map<string, SpawnedProcess>();
    private readonly options: ResolvedClusterOptions;
    private readonly members: ReadonlyMap<string, Member>;
    private readonly proxies = new Map<string, FaultProxy[]>();

    constructor(options: ClusterOptions) {
        this.options = resolveClusterOptions(options);
        this.members = createLayout(this.options);
    }

    /** Starts everything and waits until all routers and agents are ready. */
    async start(): Promise<this> {
        try {
            await Promise.all(
                this.membersOfKind("kv", "hosts", "engine", "ledger").map(member => this.startStandIn(member)),
            );
            await this.seedSections();
            const hosts = this.membersOfKind("agent", "router");
            await this.control("hosts", "hosts", {
                hosts: hosts.map(member => toHostEntry(member, this.address, this.options)),
            });
            for (const member of hosts) await this.startNode(member);
            await Promise.all(hosts.map(member => this.waitUntilReady(member.name)));
            return this;
        }
        catch (cause) {
            await this.close();
            throw cause;
        }
    }

    /** Ends all processes and proxies that this cluster started. */
    async close(): Promise<void> {
        await Promise.all([...this.processes.values()].map(spawned => spawned.end()));
        await Promise.all([...this.proxies.values()].flat().map(proxy => proxy.close()));
    }

    process(name: string): SpawnedProcess {
        const found = this.processes.get(name);
        if (found === undefined) throw new Error(`no process is named ${name}`);
        return found;
    }

    url(name: string): string {
        return `http://${this.address}:${this.member(name).port}`;
    }

    operatorUrl(router = "router-1"): string {
        return `http://${this.address}:${this.member(router).operatorPort}`;
    }

    /** Port for calls of other processes; it is on the cluster's address. */
    peerPort(name: string): number {
        return this.member(name).peerPort;
    }

    hostId(name: string): string {
        return `host-${name}`;
    }

    async waitUntilReady(name: string, timeoutMs = 20_000): Promise<void> {
        await eventually(`readiness of ${name}`, async () => {
            const response = await call(`${this.url(name)}/readyz`);
            return response.status === 200 ? true : undefined;
        }, timeoutMs);
    }

    /** Waits until each of the models has a grant that is not being revoked. */
    async waitForGrants(modelIds: readonly string[], timeoutMs = 20_000): Promise<void> {
        await this.withStore(store =>
            eventually(`grants of ${modelIds.join(", ")}`, async () => {
                const entries = await Promise.all(modelIds.map(id => store.get(`/skylarkmill/grants/${id}`)));
                const isGranted = (text: string | undefined): boolean => text?.includes('"revoking":false') === true;
                return entries.every(entry => isGranted(entry._unsafeUnwrap()?.value)) ? true : undefined;
            }, timeoutMs)
        );
    }

    /** Reads a value of the key-value service directly. */
    async readKey(key: string): Promise<string | undefined> {
        return this.withStore(async store => (await store.get(key))._unsafeUnwrap()?.value);
    }

    /** Sets the faults of all connections of a link that is listed in the `links` option. */
    async setLinkFaults(link: Link, faults: Partial<ProxyFaults>): Promise<void> {
        const proxies = this.proxies.get(linkKey(link));
        if (proxies === undefined) throw new Error(`there is no proxy from ${link.from} to ${link.to}`);
        await Promise.all(proxies.map(proxy => proxy.setFaults(faults)));
    }

    /** Controls a stand-in: `PUT /control/<path>`. */
    async control(
        name: string,
        path: string,
        body: object,
        method: "PUT" | "POST" | "DELETE" = "PUT",
    ): Promise<unknown> {
        const response = await call(`${this.url(name)}/control/${path}`, { method, body });
        if (response.status !== 200) throw new Error(`${name} refused ${path}: ${response.status} ${response.text}`);
        return JSON.parse(response.text) as unknown;
    }

    setHostState(name: string, state: "live" | "leaving" | "gone"): Promise<unknown> {
        return this.control("hosts", `hosts/${this.hostId(name)}`, { state });
    }

    /** Events of the named stand-ins or, without names, of all that are running; oldest first. */
    async journal(...names: string[]): Promise<readonly JournalEvent[]> {
        const standIns = this.membersOfKind("kv", "hosts", "engine", "ledger").map(member => member.name);
        const sources = names.length > 0 ? names : standIns.filter(name => this.process(name).isRunning);
        const lists = await Promise.all(sources.map(async name => {
            const response = await call(`${this.url(name)}/journal`);
            return (JSON.parse(response.text) as { readonly events: JournalEvent[]; }).events;
        }));
        return lists.flat().sort((a, b) => a.atMs - b.atMs || a.seq - b.seq);
    }

    /** Makes one HTTP call to a process by name. */
    call(name: string, path: string, options?: CallOptions): Promise<CallResult> {
        return call(`${this.url(name)}${path}`, options);
    }

    sendChat(options: ChatOptions): Promise<CallResult> {
        const { router = "router-1", model, message = "squeaky hub", stream = false, maxTokens = 8 } = options;
        return call(`${this.url(router)}/v1/chat/completions`, {
            method: "POST",
            headers: options.headers ?? {},
            body: { model, stream, max_tokens: maxTokens, messages: [{ role: "user", content: message }] },
            ...(options.signal === undefined ? {} : { signal: options.signal }),
        });
    }

    /** Sends a parts order; one with an idempotency key may be repeated. */
    sendOrder(
        key: string | undefined,
        router = "router-1",
        body: unknown = { part: "hub", quantity: 1 },
    ): Promise<CallResult> {
        return call(`${this.url(router)}/services/${this.options.ledgerService}/orders`, {
            method: "POST",
            headers: key === undefined ? {} : { "idempotency-key": key },
            body,
        });
    }

    /** Reads a section from a router's operators' interface. */
    async readSection<T = unknown>(section: string, router = "router-1"): Promise<{ version: number; section: T; }> {
        const response = await this.operator("GET", `config/${section}`, { router });
        if (response.status !== 200) throw new Error(`${router}: ${response.status} ${response.text}`);
        return JSON.parse(response.text) as { version: number; section: T; };
    }

    /** Edits a section through a router's operators' interface. */
    editSection(
        section: string,
        version: number,
        value: unknown,
        router = "router-1",
        editId: string = randomUUID(),
    ): Promise<CallResult> {
        const headers = { "if-match": String(version), "x-edit-id": editId };
        return this.operator("PUT", `config/${section}`, { router, headers, body: value });
    }

    operator(
        method: "GET" | "PUT" | "DELETE",
        path: string,
        options: { readonly router?: string; readonly headers?: Record<string, string>; readonly body?: unknown; } = {},
    ): Promise<CallResult> {
        const headers = { authorization: `Bearer ${TEAM_TOKEN}`, ...options.headers };
        return call(`${this.operatorUrl(options.router)}/operator/${path}`, { method, headers, body: options.body });
    }

    private member(name: string): Member {
        const found = this.members.get(name);
        if (found === undefined) throw new Error(`the cluster has no member ${name}`);
        return found;
    }

    private membersOfKind(...kinds: readonly Member["kind"][]): Member[] {
        return [...this.members.values()].filter(member => kinds.includes(member.kind));
    }

    private async withStore<T>(use: (store: ReturnType<typeof createEtcdKeyValueStore>) => Promise<T>): Promise<T> {
        const store = createEtcdKeyValueStore({ endpoints: [this.url("kv")] });
        try {
            return await use(store);
        }
        finally {
            await store.close();
        }
    }

    /** Writes the sections in the form in which accepted edits store them. */
    private async seedSections(): Promise<void> {
        await this.withStore(async store => {
            for (const [name, value] of Object.entries(this.options.sections)) {
                const key = `/skylarkmill/config/${name}`;
                const editId = toId<EditId>(`seed-${name}`);
                const record = {
                    key,
                    version: 1,
                    nonce: "0000",
                    editId,
                    writtenAtMs: Date.now(),
                    previousEditIds: [],
                    value,
                };
                const written = await store.commit({ compare: [], puts: [{ key, value: encodeStoredRecord(record) }] });
                written._unsafeUnwrap();
            }
        });
    }

    private async spawn(member: Member, args: readonly string[], env: Record<string, string> = {}): Promise<void> {
        const isOwn = member.kind === "router" || member.kind === "agent";
        const nodeFlags = isOwn ? this.options.nodeFlags : [];
        const spawned = new SpawnedProcess({ name: member.name, args, env, nodeFlags });
        this.processes.set(member.name, spawned);
        spawned.start();
        await spawned.waitForLine(/listening/);
    }

    private startStandIn(member: Member): Promise<void> {
        const listen = `--listen=${this.address}:${member.port}`;
        const name = `--stand-in-name=${member.name}`;
        switch (member.kind) {
            case "kv":
                return this.spawn(member, ["stand-in", "kv", listen]);
            case "hosts":
                return this.spawn(member, ["stand-in", "hosts", listen, ...this.options.hostsFlags]);
            case "engine":
                return this.spawn(member, ["stand-in", "engine", listen, name, ...this.options.engineFlags]);
            default:
                return this.spawn(member, ["stand-in", "service", listen, name, ...this.options.ledgerFlags]);
        }
    }

    private async startNode(member: Member): Promise<void> {
        await this.startProxies(member);
        const host = toHostEntry(member, this.address, this.options);
        const common = [
            `--host-id=${host.hostId}`,
            `--data-centre=${host.dataCentre}`,
            `--kv-endpoints=${this.urlThroughProxy(member.name, "kv")}`,
            `--hosts-url=${this.urlThroughProxy(member.name, "hosts")}/hosts?viewer=${member.name}`,
            "--hosts-poll-ms=200",
            `--peer-listen=${this.address}:${member.peerPort}`,
        ];
        const env = { SKYLARKMILL_PEER_KEYS: PEER_KEY, SKYLARKMILL_TEAM_TOKENS: this.teamTokens() };
        const listen = `${this.address}:${member.port}`;
        if (member.kind === "router") {
            const operator = `--operator-listen=${this.address}:${member.operatorPort}`;
            await this.spawn(
                member,
                ["router", ...common, `--listen=${listen}`, operator, ...this.options.routerFlags],
                env,
            );
            return;
        }
        const backend = member.backend!;
        const kind = backend.startsWith("engine-") ? "model" : "plain";
        const own = [
            `--server-id=${backend}`,
            `--service-id=${host.serviceId}`,
            `--request-listen=${listen}`,
            `--backend-url=${this.urlThroughProxy(member.name, backend)}`,
            `--backend-kind=${kind}`,
        ];
        await this.spawn(member, ["agent", ...common, ...own, ...this.options.agentFlags], env);
    }

    /** One token for the team of each seeded section; the first team's is `TEAM_TOKEN`. */
    private teamTokens(): string {
        const teams = Object.values(this.options.sections).map(section => (section as { readonly team: string; }).team);
        const unique = [...new Set(teams)];
        return unique.map((team, index) => `${team}=${index === 0 ? TEAM_TOKEN : `${TEAM_TOKEN}-${team}`}`).join(",");
    }

    private urlThroughProxy(from: string, to: string): string {
        const [proxy] = this.proxies.get(linkKey({ from, to })) ?? [];
        return proxy === undefined ? this.url(to) : `http://${proxy.host}:${proxy.port}`;
    }

    /** Starts proxies for the links that a process opens, and puts their ports into its view of the host list. */
    private async startProxies(member: Member): Promise<void> {
        const overrides: Record<string, object> = {};
        for (const link of this.options.links.filter(({ from }) => from === member.name)) {
            const target = this.member(link.to);
            const isHost = target.kind === "agent" || target.kind === "router";
            const ports = isHost ? [target.port, target.peerPort] : [target.port];
            const proxies = await Promise.all(ports.map(port =>
                createFaultProxy({
                    listen: { host: this.address, port: 0 },
                    target: { host: this.address, port },
                    name: linkKey(link),
                })
            ));
            this.proxies.set(linkKey(link), proxies);
            if (isHost) overrides[this.hostId(link.to)] = { requestPort: proxies[0]!.port, peerPort: proxies[1]!.port };
        }
        if (Object.keys(overrides).length > 0) await this.control("hosts", `views/${member.name}`, overrides);
    }
}

function linkKey({ from, to }: Link): string {
    return `${from} -> ${to}`;
}

/**
 * Starts the system as real processes; close it at the end of the test.
 *
 * @example
 * const cluster = await startCluster({ sections, engineCount: 2, links: [{ from: "router-1", to: "kv" }] });
 * await cluster.setLinkFaults({ from: "router-1", to: "kv" }, { mode: "hang" });
 */
export function startCluster(options: ClusterOptions): Promise<Cluster> {
    return new Cluster(options).start();
}
