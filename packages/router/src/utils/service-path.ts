/**
 * Splits the URL of a request to a plain service into the service id and the path below the service.
 *
 * @example
 * splitServicePath("/services/parts-ledger/stock/7?x=1"); // { serviceId: "parts-ledger", path: "/stock/7?x=1" }
 */
export function splitServicePath(url: string): { readonly serviceId: string; readonly path: string; } {
    const match = /^\/services\/([^/?#]+)(.*)$/.exec(url.startsWith("/") ? url : toOriginForm(url));
    const rest = match?.[2] ?? "";
    return { serviceId: match?.[1] ?? "", path: rest.startsWith("/") ? rest : `/${rest}` };
}

/** Converts an absolute-form request target, which clients may send (RFC 9112, section 3.2.2). */
function toOriginForm(url: string): string {
    const { pathname, search } = new URL(url);
    return pathname + search;
}
