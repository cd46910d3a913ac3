/**
 * Headers that apply to a single connection and must not be forwarded by a proxy (RFC 9110, section 7.6.1).
 *
 * @example
 * const kept = names.filter(name => !HOP_BY_HOP_HEADERS.has(name.toLowerCase()));
 */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
