import { Pool } from "undici";

/**
 * Creates a pool that uses each connection for one exchange, also if the peer keeps it open. Responses of other
 * programs name no request, so a late second copy of one would be taken for the response to the next request.
 */
export function createSingleUsePool(origin: string, maxConnections: number): Pool {
    return new Pool(origin, { connections: maxConnections, pipelining: 0, allowH2: false });
}
