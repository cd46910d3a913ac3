import type { RequestId, ServiceId } from "@skylarkmill/protocol";
import type { Route } from "../types/configuration.ts";

/**
 * Picks the service of a request by the route's weights; the same request id always gets the same service.
 *
 * @example
 * const serviceId = pickService(route, request.requestId);
 */
export function pickService(route: Route, requestId: RequestId): ServiceId {
    const [first] = route.services;
    if (route.services.length === 1) return first!.serviceId;
    const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
    let point = hashFraction(requestId) * total;
    for (const { serviceId, weight } of route.services) {
        point -= weight;
        if (point < 0) return serviceId;
    }
    return first!.serviceId;
}

/** Returns the 32-bit FNV-1a hash of the text's UTF-16 code units as a fraction, from 0 to below 1. */
function hashFraction(text: string): number {
    // The offset basis and the prime of 32-bit FNV-1a.
    let hash = 2_166_136_261;
    for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 16_777_619);
    return (hash >>> 0) / 4_294_967_296;
}
