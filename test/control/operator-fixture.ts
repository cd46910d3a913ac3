import { create } from "@bufbuild/protobuf";
import type { HostEntry } from "@skylarkmill/adapters";
import { createOperatorApp, type OperatorOptions, type OperatorPeers } from "@skylarkmill/control";
import { ProcessStatusSchema, type TeamId, toId } from "@skylarkmill/protocol";
import { FakeKeyValueStore } from "./fake-key-value-store.ts";
import { createBackendHost, createRecords, FakeMembership } from "./fixture.ts";

export const TOKENS = { parts: "parts-secret", workshops: "workshops-secret" } as const;

export type Team = keyof typeof TOKENS;

export interface OperatorTestResponse {
    readonly status: number;
    readonly body: Record<string, unknown> & { readonly error?: { readonly code: string; readonly message: string; }; };
    readonly headers: Headers;
}

export interface CallOptions {
    readonly team?: Team;
    readonly token?: string;
    readonly headers?: Record<string, string>;
    readonly body?: unknown;
}

/** Client of the operators' interface of one router. */
export interface OperatorTestClient {
    readonly fetch: (request: Request) => Response | Promise<Response>;
    readonly records: ReturnType<typeof createRecords>["records"];
    call(method: string, path: string, options?: CallOptions): Promise<OperatorTestResponse>;
    put(section: string, ifMatch: number, editId: string, body: unknown, team?: Team): Promise<OperatorTestResponse>;
}

export const createPlainSection = (team: Team, services: Record<string, object> = { "parts-ledger": {} }) => ({
    team,
    services: Object.fromEntries(Object.entries(services).map(([name, more]) => [name, { kind: "plain", ...more }])),
});

/** Peers that respond unless they are unreachable, which fails at once, or silent, which never responds. */
export class FakePeers implements OperatorPeers {
    readonly unreachable = new Set<string>();
    readonly silent = new Set<string>();
    readonly drains: string[] = [];
    readonly statuses = new Map<string, Parameters<typeof create<typeof ProcessStatusSchema>>[1]>();

    getStatus(host: HostEntry) {
        if (this.silent.has(host.hostId)) return new Promise<never>(() => undefined);
        if (this.unreachable.has(host.hostId)) return Promise.reject(new Error("connection refused"));
        return Promise.resolve(create(ProcessStatusSchema, { ready: true, ...this.statuses.get(host.hostId) }));
    }

    drain(host: HostEntry, request: { readonly hostId: string; readonly draining: boolean; }) {
        if (this.unreachable.has(host.hostId)) return Promise.reject(new Error("connection refused"));
        this.drains.push(`${request.hostId} ${request.draining}`);
        return Promise.resolve({ draining: request.draining, inProgressCount: 3 });
    }
}

/** Routers with an operators' interface that share a key-value service and a host list. */
export class OperatorHarness {
    readonly store = new FakeKeyValueStore();
    readonly membership = new FakeMembership();
    readonly peers = new FakePeers();
    readonly logLines: string[] = [];

    constructor() {
        this.membership.entries = [createBackendHost("a"), createBackendHost("b")];
    }

    /** Adds a router and returns a client of its operators' interface. */
    async addRouter(name = "router-1"): Promise<OperatorTestClient> {
        const { records, config } = createRecords(this.store, name);
        await records.refresh();
        const log = (fields: object, message: string) =>
            void this.logLines.push(JSON.stringify({ ...fields, message }));
        const options: OperatorOptions = {
            records,
            config,
            store: this.store,
            membership: this.membership,
            peers: this.peers,
            teamTokens: () => new Map(Object.entries(TOKENS).map(([team, token]) => [token, toId<TeamId>(team)])),
            peerTimeoutMs: 50,
            logger: { debug: log, info: log, warn: log, error: log },
        };
        const app = createOperatorApp(options);
        const call = async (method: string, path: string, more: CallOptions = {}): Promise<OperatorTestResponse> => {
            const token = more.token ?? TOKENS[more.team ?? "parts"];
            const response = await app.request(path, {
                method,
                headers: { ...(token === "" ? {} : { authorization: `Bearer ${token}` }), ...more.headers },
                ...(more.body === undefined
                    ? {}
                    : { body: typeof more.body === "string" ? more.body : JSON.stringify(more.body) }),
            });
            const body = await response.json() as OperatorTestResponse["body"];
            return { status: response.status, body, headers: response.headers };
        };
        return {
            fetch: request => app.fetch(request),
            records,
            call,
            put: (section, ifMatch, editId, body, team = "parts") =>
                call("PUT", `/operator/config/${section}`, {
                    team,
                    body,
                    headers: { "if-match": String(ifMatch), "x-edit-id": editId },
                }),
        };
    }
}
