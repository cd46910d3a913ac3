import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { Journal } from "../runtime/journal.ts";
import * as codec from "../runtime/key-value-codec.ts";
import {
    createInactiveKeyValueFaults,
    type KeyValueFaults,
    keyValueFaultsSchema,
} from "../runtime/key-value-faults.ts";
import {
    type KeyValueEvent,
    KeyValueState,
    type KeyValueWrite,
    type StateSnapshot,
} from "../runtime/key-value-state.ts";
import type { SocketAddress, StandIn } from "../types/stand-in.ts";
import {
    createStandInApp,
    dropConnection,
    holdConnectionOpen,
    readJsonBody,
    type StandInContext,
    startHttpServer,
} from "./http-server.ts";

export interface KeyValueStandInOptions {
    readonly listen: SocketAddress;
    /** Duration of each call. @default 0 */
    readonly callMs?: number;
}

export interface KeyValueStandIn extends StandIn {
    readonly state: KeyValueState;
    setFaults(faults: Partial<KeyValueFaults>): void;
    /** Returns the number of calls since the start or the last reset, by kind. */
    callCounts(): Readonly<Record<string, number>>;
}

interface Watcher {
    readonly outgoing: ServerResponse;
    /** Matching events that will be sent when the outage `hang` ends. */
    readonly pendingEvents: KeyValueEvent[];
    /** Sends the matching events, after those that are pending. */
    deliver(events: readonly KeyValueEvent[]): void;
}

type CallResult = { readonly status: 200 | 400 | 404; readonly body: object; };

const GRPC_NOT_FOUND = 5;
const GRPC_UNAVAILABLE = 14;

/** Handles the calls and faults of one key-value stand-in. */
class KeyValueServer {
    readonly journal = new Journal("kv");
    readonly state = new KeyValueState();
    readonly callCounts = new Map<string, number>();
    faults = createInactiveKeyValueFaults();
    private readonly callMs: number;
    private readonly watchers = new Set<Watcher>();
    private readonly snapshots: StateSnapshot[] = [];

    constructor(callMs: number) {
        this.callMs = callMs;
    }

    setFaults(faults: Partial<KeyValueFaults>): void {
        Object.assign(this.faults, faults);
        this.journal.add("faults", { ...faults });
        if (this.faults.outage === "refuse" || this.faults.outage === "unavailable") this.closeWatches();
        if (this.faults.outage === "none") { for (const watcher of this.watchers) watcher.deliver([]); }
    }

    snapshot(): number {
        return this.snapshots.push(this.state.snapshot()) - 1;
    }

    restore(snapshotId: number | undefined): boolean {
        const snapshot = this.snapshots.at(snapshotId ?? -1);
        if (snapshot === undefined) return false;
        this.state.restore(snapshot);
        this.closeWatches();
        this.journal.add("restored", { revision: snapshot.revision });
        return true;
    }

    closeWatches(): void {
        for (const watcher of this.watchers) watcher.outgoing.destroy();
    }

    /** Runs one call and applies the current faults to it and to its response. */
    async handle<Schema extends z.ZodType>(
        context: StandInContext,
        kind: string,
        isWrite: boolean,
        schema: Schema,
        run: (request: z.output<Schema>) => CallResult,
    ): Promise<Response> {
        const faultResponse = await this.applyCallFaults(context, kind);
        if (faultResponse !== undefined) return faultResponse;
        const request = await readJsonBody(context, schema);
        if ("response" in request) return request.response;
        if (isWrite && this.faults.lateWrites > 0) {
            this.faults.lateWrites--;
            setTimeout(() => run(request.value), this.faults.lateWriteMs);
            return dropConnection(context);
        }
        const result = run(request.value);
        if (isWrite && this.faults.loseAnswers > 0) {
            this.faults.loseAnswers--;
            this.journal.add("answer_lost", { call: kind });
            return dropConnection(context);
        }
        return context.json(result.body, result.status);
    }

    range(request: codec.RangeRequest): CallResult {
        const found = this.state.range(request.key, request.range_end);
        const limit = request.limit === 0 ? found.length : request.limit;
        return {
            status: 200,
            body: {
                header: codec.toResponseHeader(this.state.revision),
                kvs: found.slice(0, limit).map(([key, stored]) => codec.toKeyValue(key, stored)),
                more: found.length > limit,
                count: String(found.length),
            },
        };
    }

    transact(request: codec.TxnRequest): CallResult {
        const succeeded = request.compare.every(compare =>
            (this.state.range(compare.key, undefined)[0]?.[1].modRevision ?? 0) === compare.mod_revision
        );
        const operations = succeeded ? request.success : request.failure;
        const writes = operations.flatMap(toWrites);
        const hasUnknownLease = writes.some(write =>
            write.kind === "put" && write.leaseId !== undefined && !this.state.hasLease(write.leaseId)
        );
        if (hasUnknownLease) return toNotFoundResult("etcdserver: requested lease not found");
        const events = this.state.apply(writes);
        if (events.length > 0) {
            this.journal.add("write", { keys: events.map(event => event.key), revision: this.state.revision });
        }
        const responses = operations.map(operation => {
            if (operation.request_range !== undefined) {
                return { response_range: this.range(operation.request_range).body };
            }
            const header = codec.toResponseHeader(this.state.revision);
            return operation.request_put === undefined
                ? { response_delete_range: { header } }
                : { response_put: { header } };
        });
        return { status: 200, body: { header: codec.toResponseHeader(this.state.revision), succeeded, responses } };
    }

    keepAlive(leaseId: string): CallResult {
        const ttlMs = this.state.keepAlive(leaseId);
        const header = codec.toResponseHeader(this.state.revision);
        const ttl = ttlMs === undefined ? {} : { TTL: String(Math.round(ttlMs / 1000)) };
        return { status: 200, body: { result: { header, ID: leaseId, ...ttl } } };
    }

    grantLease(ttlSeconds: number): CallResult {
        const leaseId = this.state.grantLease(Math.max(1, ttlSeconds) * 1000);
        const header = codec.toResponseHeader(this.state.revision);
        return { status: 200, body: { header, ID: leaseId, TTL: String(Math.max(1, ttlSeconds)) } };
    }

    revokeLease(leaseId: string): CallResult {
        if (!this.state.removeLease(leaseId)) return toNotFoundResult("etcdserver: requested lease not found");
        return { status: 200, body: { header: codec.toResponseHeader(this.state.revision) } };
    }

    async watch(context: StandInContext): Promise<Response> {
        const faultResponse = await this.applyCallFaults(context, "watch");
        if (faultResponse !== undefined) return faultResponse;
        const request = await readJsonBody(context, codec.watchRequestSchema);
        if ("response" in request) return request.response;
        const { key, range_end: rangeEnd, start_revision: startRevision } = request.value.create_request;
        const { outgoing } = context.env;
        outgoing.writeHead(200, { "content-type": "application/json" });
        outgoing.write(
            `${
                JSON.stringify({
                    result: { header: codec.toResponseHeader(this.state.revision), watch_id: "0", created: true },
                })
            }\n`,
        );
        const watcher = this.createWatcher(
            outgoing,
            event => rangeEnd === undefined ? event.key === key : event.key >= key && event.key < rangeEnd,
        );
        if (startRevision > 0) watcher.deliver(this.state.eventsSince(startRevision));
        const unsubscribe = this.state.subscribe(events => watcher.deliver(events));
        this.watchers.add(watcher);
        outgoing.once("close", () => {
            unsubscribe();
            this.watchers.delete(watcher);
        });
        return RESPONSE_ALREADY_SENT;
    }

    private createWatcher(outgoing: ServerResponse, matches: (event: KeyValueEvent) => boolean): Watcher {
        const pendingEvents: KeyValueEvent[] = [];
        const deliver = (events: readonly KeyValueEvent[]): void => {
            pendingEvents.push(...events.filter(matches));
            if (pendingEvents.length === 0 || this.faults.outage === "hang") return;
            outgoing.write(codec.toWatchMessage(pendingEvents.splice(0), this.state.revision));
        };
        return { outgoing, pendingEvents, deliver };
    }

    /** Counts and delays a call; returns a response if an outage prevents the call. */
    private async applyCallFaults(context: StandInContext, kind: string): Promise<Response | undefined> {
        this.callCounts.set(kind, (this.callCounts.get(kind) ?? 0) + 1);
        const delayMs = this.callMs + this.faults.delayMs;
        if (delayMs > 0) await sleep(delayMs);
        switch (this.faults.outage) {
            case "refuse":
                return dropConnection(context);
            case "hang":
                return holdConnectionOpen(context);
            case "unavailable":
                return context.json({ error: "etcdserver: no leader", code: GRPC_UNAVAILABLE }, 503);
            case "none":
                return undefined;
        }
    }
}

function toNotFoundResult(message: string): CallResult {
    return { status: 404, body: { error: message, code: GRPC_NOT_FOUND, message } };
}

function toWrites(operation: codec.TxnOperation): KeyValueWrite[] {
    const { request_put: put, request_delete_range: remove } = operation;
    if (put !== undefined) return [{ kind: "put", key: put.key, value: put.value, leaseId: put.lease }];
    if (remove !== undefined) return [{ kind: "delete", key: remove.key, rangeEnd: remove.range_end }];
    return [];
}

/**
 * Starts a stand-in for the key-value service: the subset of the etcd v3 JSON gateway that the system uses.
 * Tests control it with `PUT /control/faults`, `POST /control/snapshot`, `POST /control/restore` and
 * `GET|DELETE /control/counts`.
 *
 * @example
 * const kv = await createKeyValueStandIn({ listen: { host: "127.0.0.1", port: 0 } });
 */
export async function createKeyValueStandIn(options: KeyValueStandInOptions): Promise<KeyValueStandIn> {
    const server = new KeyValueServer(options.callMs ?? 0);
    const app = createStandInApp(server.journal);
    app.post("/v3/kv/range", c => server.handle(c, "range", false, codec.rangeRequestSchema, r => server.range(r)));
    app.post("/v3/kv/txn", c => server.handle(c, "txn", true, codec.txnRequestSchema, r => server.transact(r)));
    app.post("/v3/watch", c => server.watch(c));
    app.post(
        "/v3/lease/grant",
        c => server.handle(c, "lease_grant", true, codec.leaseGrantRequestSchema, r => server.grantLease(r.TTL)),
    );
    app.post(
        "/v3/lease/keepalive",
        c => server.handle(c, "lease_keepalive", true, codec.leaseRequestSchema, r => server.keepAlive(r.ID)),
    );
    for (const path of ["/v3/lease/revoke", "/v3/kv/lease/revoke"]) {
        app.post(
            path,
            c => server.handle(c, "lease_revoke", true, codec.leaseRequestSchema, r => server.revokeLease(r.ID)),
        );
    }
    app.put("/control/faults", async context => {
        const faults = await readJsonBody(context, keyValueFaultsSchema);
        if ("response" in faults) return faults.response;
        server.setFaults(faults.value);
        return context.json(server.faults);
    });
    app.post("/control/snapshot", context => context.json({ snapshotId: server.snapshot() }));
    app.post("/control/restore", async context => {
        const request = await readJsonBody(context, z.object({ snapshotId: z.number().int().optional() }));
        if ("response" in request) return request.response;
        return context.json({ restored: server.restore(request.value.snapshotId) });
    });
    app.get("/control/counts", context => context.json(Object.fromEntries(server.callCounts)));
    app.delete("/control/counts", context => {
        server.callCounts.clear();
        return context.json({});
    });
    const standIn = await startHttpServer(app, options.listen, server.journal, () => server.state.close());
    return {
        ...standIn,
        state: server.state,
        setFaults: faults => server.setFaults(faults),
        callCounts: () => Object.fromEntries(server.callCounts),
    };
}
