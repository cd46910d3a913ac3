import type { HostEntry } from "@skylarkmill/adapters";
import { formatOrigin } from "@skylarkmill/coordination";
import { Pool } from "undici";

/** Holds one connection pool per agent. */
export class AgentPools {
    private readonly pools = new Map<string, Pool>();
    private readonly connectTimeoutMs: number;

    constructor(connectTimeoutMs: number) {
        this.connectTimeoutMs = connectTimeoutMs;
    }

    getPool(host: HostEntry): Pool {
        const origin = formatOrigin(host.address, host.requestPort);
        let pool = this.pools.get(origin);
        if (pool === undefined) {
            // undici's timeouts are disabled because the router enforces request deadlines itself. Without
            // pipelining, a broken connection affects only one request.
            pool = new Pool(origin, {
                connect: { timeout: this.connectTimeoutMs, noDelay: true },
                pipelining: 1,
                headersTimeout: 0,
                bodyTimeout: 0,
                maxHeaderSize: 256 * 1024,
            });
            this.pools.set(origin, pool);
        }
        return pool;
    }

    /** Keeps only the pools of the given hosts; the other pools close once their requests have ended. */
    retainHosts(hosts: Iterable<HostEntry>): void {
        const origins = new Set<string>();
        for (const host of hosts) origins.add(formatOrigin(host.address, host.requestPort));
        for (const [origin, pool] of this.pools) {
            if (origins.has(origin)) continue;
            this.pools.delete(origin);
            pool.close().catch(() => undefined);
        }
    }

    async stop(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
        this.pools.clear();
    }
}
