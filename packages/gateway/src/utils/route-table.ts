import type { Route } from "../types/configuration.ts";

/** Finds the route of a request: among the routes of its host, the one with the longest matching prefix. */
export class RouteTable {
    private readonly routesByHost = new Map<string, Route[]>();

    constructor(routes: readonly Route[]) {
        for (const route of routes) {
            const host = route.host.toLowerCase();
            const hostRoutes = this.routesByHost.get(host);
            if (hostRoutes === undefined) this.routesByHost.set(host, [route]);
            else hostRoutes.push(route);
        }
        for (const list of this.routesByHost.values()) list.sort((a, b) => b.prefix.length - a.prefix.length);
    }

    /**
     * Finds the route for a host and a path, which may have a query.
     *
     * @example
     * table.findRoute("depot.example", "/bays/7?x=1");
     */
    findRoute(host: string, path: string): Route | undefined {
        const name = host.toLowerCase().replace(/:\d+$/, "");
        const end = path.indexOf("?");
        const plainPath = end < 0 ? path : path.slice(0, end);
        return this.routesByHost.get(name)?.find(route => plainPath.startsWith(route.prefix));
    }
}
