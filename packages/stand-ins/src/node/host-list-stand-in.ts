import { compress } from "hono/compress";
import { etag } from "hono/etag";
import { z } from "zod";
import { Journal } from "../runtime/journal.ts";
import type { SocketAddress, StandIn } from "../types/stand-in.ts";
import { createStandInApp, dropConnection, holdConnectionOpen, readJsonBody, startHttpServer } from "./http-server.ts";

export interface HostListStandInOptions {
    readonly listen: SocketAddress;
    /** Time from a change until responses contain it. @default 0 */
    readonly lagMs?: number;
    readonly hosts?: readonly StandInHost[];
}

const hostSchema = z.looseObject({ hostId: z.string(), state: z.enum(["live", "leaving", "gone"]) });

/** Fields by host id that override those of the host for one viewer. */
const viewerFieldsSchema = z.record(z.string(), z.record(z.string(), z.unknown()));

export type StandInHost = z.output<typeof hostSchema>;

export interface HostListStandIn extends StandIn {
    /** Replaces the list; responses contain it after the lag. */
    setHosts(hosts: readonly StandInHost[]): void;
}

/**
 * Starts a stand-in for the platform's host list: `GET /hosts` returns `{"hosts": [...]}`.
 * Tests control it with `PUT /control/hosts`; `PUT /control/hosts/<hostId>` (`{"state"}`) and
 * `DELETE /control/hosts/<hostId>`; `PUT /control/lag` (`{"lagMs"}`); `PUT /control/outage`
 * (`{"mode": "none" | "refuse" | "hang"}`); and `PUT /control/views/<viewer>`, whose body contains fields by host id. A
 * client that reads `GET /hosts?viewer=<viewer>` gets these fields in place of the host's own, such as the port of a
 * fault proxy.
 *
 * @example
 * const hosts = await createHostListStandIn({ listen: { host: "127.0.0.1", port: 0 }, lagMs: 500 });
 */
export async function createHostListStandIn(options: HostListStandInOptions): Promise<HostListStandIn> {
    const journal = new Journal("hosts");
    const app = createStandInApp(journal);
    const timers = new Set<NodeJS.Timeout>();
    const views = new Map<string, z.output<typeof viewerFieldsSchema>>();
    let lagMs = options.lagMs ?? 0;
    let outage = "none";
    let currentHosts = options.hosts ?? [];
    let visibleHosts = currentHosts;

    function setHosts(hosts: readonly StandInHost[]): void {
        currentHosts = hosts;
        journal.add("hosts_changed", { hosts: hosts.map(host => ({ hostId: host.hostId, state: host.state })) });
        if (lagMs === 0) {
            visibleHosts = hosts;
            return;
        }
        const timer = setTimeout(() => {
            timers.delete(timer);
            visibleHosts = hosts;
            journal.add("hosts_visible");
        }, lagMs);
        timers.add(timer);
    }

    app.get("/hosts", compress({ encoding: "gzip" }), etag(), context => {
        if (outage === "refuse") return dropConnection(context);
        if (outage === "hang") return holdConnectionOpen(context);
        const view = views.get(context.req.query("viewer") ?? "") ?? {};
        return context.json({ hosts: visibleHosts.map(host => ({ ...host, ...view[host.hostId] })) });
    });
    app.put("/control/views/:viewer", async context => {
        const request = await readJsonBody(context, viewerFieldsSchema);
        if ("response" in request) return request.response;
        views.set(context.req.param("viewer"), request.value);
        return context.json({});
    });
    app.put("/control/hosts", async context => {
        const request = await readJsonBody(context, z.object({ hosts: z.array(hostSchema) }));
        if ("response" in request) return request.response;
        setHosts(request.value.hosts);
        return context.json({});
    });
    app.put("/control/hosts/:hostId", async context => {
        const request = await readJsonBody(context, hostSchema.pick({ state: true }));
        if ("response" in request) return request.response;
        const hostId = context.req.param("hostId");
        setHosts(currentHosts.map(host => host.hostId === hostId ? { ...host, state: request.value.state } : host));
        return context.json({});
    });
    app.delete("/control/hosts/:hostId", context => {
        setHosts(currentHosts.filter(host => host.hostId !== context.req.param("hostId")));
        return context.json({});
    });
    app.put("/control/lag", async context => {
        const request = await readJsonBody(context, z.object({ lagMs: z.number().min(0) }));
        if ("response" in request) return request.response;
        lagMs = request.value.lagMs;
        return context.json({ lagMs });
    });
    app.put("/control/outage", async context => {
        const request = await readJsonBody(context, z.object({ mode: z.enum(["none", "refuse", "hang"]) }));
        if ("response" in request) return request.response;
        outage = request.value.mode;
        return context.json({ mode: outage });
    });
    const standIn = await startHttpServer(
        app,
        options.listen,
        journal,
        () => timers.forEach(timer => clearTimeout(timer)),
    );
    return { ...standIn, setHosts };
}
