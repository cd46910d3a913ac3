/**
 * Splits the target of a request to a plain service.
 *
 * @example
 * splitServicePath("/services/parts-ledger/stock/7?x=1"); // { serviceId: "parts-ledger", path: "/stock/7?x=1" }
 */
export function splitServicePath(url: string): { readonly serviceId: string; readonly path: string; } {
    const match = /^\/services\/([^/?#]+)(.*)$/.exec(url.startsWith("/") ? url : toOriginForm(url));
    const rest = match?.[2] ?? "";
    return { serviceId: match?.[1] ?? "", path: rest.startsWith("/") ? rest : `/${rest}` };
}

/** Clients may send the absolute form (RFC 9112, section 3.2.2). */
function toOriginForm(url: string): string {
    const { pathname, search } = new URL(url);
    return pathname + search;
}
