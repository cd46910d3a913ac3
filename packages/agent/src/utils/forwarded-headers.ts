import { HEADERS, HOP_BY_HOP_HEADERS } from "@skylarkmill/protocol";

/** Headers of one connection, and those that the HTTP libraries set themselves. */
const CONNECTION_HEADERS = new Set([...HOP_BY_HOP_HEADERS, "content-length", "date", "expect", "host"]);

/** The peers' key and the headers between router and agent are not for the backend server. */
const INTERNAL_HEADERS = new Set<string>([
    HEADERS.peerKey,
    HEADERS.requestId,
    HEADERS.requestTimeoutMs,
    HEADERS.attemptId,
    HEADERS.deadlineMs,
    HEADERS.service,
    HEADERS.model,
    HEADERS.adapter,
    HEADERS.once,
    HEADERS.requestClass,
]);

/** Headers of a router's request that go on to the backend server. */
export function toBackendHeaders(headers: Iterable<[string, string]>): Record<string, string> {
    const picked: Record<string, string> = {};
    for (const [name, value] of headers) {
        if (!CONNECTION_HEADERS.has(name) && !INTERNAL_HEADERS.has(name)) picked[name] = value;
    }
    return picked;
}

/** Headers of the backend server's answer that go on to the router. */
export function toAnswerHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Headers {
    const picked = new Headers();
    for (const [key, values] of Object.entries(headers)) {
        const name = key.toLowerCase();
        if (values === undefined || CONNECTION_HEADERS.has(name) || name.startsWith("x-skylarkmill-")) continue;
        for (const value of Array.isArray(values) ? values : [values]) picked.append(name, value);
    }
    return picked;
}
