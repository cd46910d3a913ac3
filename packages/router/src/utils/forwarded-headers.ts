import { HEADERS, HOP_BY_HOP_HEADERS } from "@skylarkmill/protocol";

/** Request headers that are not forwarded because the router sets them; its HTTP server handles `expect` itself. */
const ROUTER_HEADERS = new Set<string>(["host", "content-length", "expect", ...Object.values(HEADERS)]);

/** Response headers that are used only between processes of the system and are not sent to callers. */
const INTERNAL_RESPONSE_HEADERS = new Set<string>([
    HEADERS.load,
    HEADERS.attemptId,
    HEADERS.execution,
    HEADERS.requestId,
]);

/** Returns the header names listed in a `connection` header; these are hop-by-hop too. */
function parseConnectionHeader(value: string | string[] | undefined): readonly string[] {
    if (value === undefined || value === "keep-alive" || value === "close") return [];
    return String(value).toLowerCase().split(",").map(name => name.trim());
}

/**
 * Picks the caller's end-to-end headers from Node's raw header list (alternating names and values).
 *
 * @example
 * pickRequestHeaders(["Accept", "text/plain", "Connection", "close"], "close"); // ["accept", "text/plain"]
 */
export function pickRequestHeaders(rawHeaders: readonly string[], connection: string | undefined): string[] {
    const listedNames = parseConnectionHeader(connection);
    const picked: string[] = [];
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
        const name = rawHeaders[i]!.toLowerCase();
        if (HOP_BY_HOP_HEADERS.has(name) || ROUTER_HEADERS.has(name) || listedNames.includes(name)) continue;
        picked.push(name, rawHeaders[i + 1]!);
    }
    return picked;
}

/**
 * Picks the end-to-end headers of a backend server's response.
 *
 * @example
 * pickResponseHeaders({ "content-type": "text/plain", connection: "close" }); // { "content-type": "text/plain" }
 */
export function pickResponseHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
    const listedNames = parseConnectionHeader(headers["connection"]);
    const picked: Record<string, string | string[]> = {};
    for (const name in headers) {
        const value = headers[name];
        if (
            value === undefined || HOP_BY_HOP_HEADERS.has(name) || INTERNAL_RESPONSE_HEADERS.has(name)
            || listedNames.includes(name)
        ) {
            continue;
        }
        picked[name] = value;
    }
    return picked;
}
