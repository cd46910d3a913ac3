import { HEADERS, HOP_BY_HOP_HEADERS } from "@skylarkmill/protocol";

/** Hop-by-hop headers and headers that the HTTP libraries set. */
const CONNECTION_HEADERS = new Set([...HOP_BY_HOP_HEADERS, "content-length", "date", "expect", "host"]);

/** The peer key and the headers between router and agent, which are not sent to the backend server. */
const INTERNAL_HEADERS = new Set<string>([
    HEADERS.peerKey,
    HEADERS.requestId,
    HEADERS.requestTimeoutMs,
    HEADERS.attemptId,
    HEADERS.remainingMs,
    HEADERS.service,
    HEADERS.model,
    HEADERS.adapter,
    HEADERS.nonIdempotent,
    HEADERS.requestClass,
]);

/** Returns the headers of a router's request that are forwarded to the backend server. */
export function toBackendHeaders(headers: Iterable<[string, string]>): Record<string, string> {
    const forwarded: Record<string, string> = {};
    for (const [name, value] of headers) {
        if (!CONNECTION_HEADERS.has(name) && !INTERNAL_HEADERS.has(name)) forwarded[name] = value;
    }
    return forwarded;
}

/** Returns the headers of the backend server's response that are forwarded to the router. */
export function toRouterHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Headers {
    const forwarded = new Headers();
    for (const [key, values] of Object.entries(headers)) {
        const name = key.toLowerCase();
        if (values === undefined || CONNECTION_HEADERS.has(name) || name.startsWith("x-skylarkmill-")) continue;
        for (const value of Array.isArray(values) ? values : [values]) forwarded.append(name, value);
    }
    return forwarded;
}
