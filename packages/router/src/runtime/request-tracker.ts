import type { ServiceId } from "@skylarkmill/protocol";

/** Tracks the requests in progress, in total and per service. */
export class RequestTracker {
    private readonly countsByService = new Map<ServiceId, number>();
    private readonly idleListeners: (() => void)[] = [];
    private count = 0;

    get totalCount(): number {
        return this.count;
    }

    serviceCount(serviceId: ServiceId): number {
        return this.countsByService.get(serviceId) ?? 0;
    }

    /** Counts a received request, whose service is not known yet. */
    addRequest(): void {
        this.count += 1;
    }

    /** Removes a request whose response was sent or whose connection closed. */
    removeRequest(): void {
        this.count -= 1;
        if (this.count === 0) { for (const listener of this.idleListeners.splice(0)) listener(); }
    }

    /** Counts a dispatched request of the service. */
    addServiceRequest(serviceId: ServiceId): void {
        this.countsByService.set(serviceId, this.serviceCount(serviceId) + 1);
    }

    /** Removes a request of the service that has ended. */
    removeServiceRequest(serviceId: ServiceId): void {
        this.countsByService.set(serviceId, this.serviceCount(serviceId) - 1);
    }

    /** Resolves once no request is in progress. */
    async waitUntilIdle(): Promise<void> {
        if (this.count === 0) return;
        await new Promise<void>(resolve => this.idleListeners.push(resolve));
    }
}
