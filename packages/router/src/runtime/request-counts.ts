import type { ServiceId } from "@skylarkmill/protocol";

/** Tracks the requests in progress, in total and per service, and the size of their bodies in memory. */
export class RequestCounts {
    private readonly perService = new Map<ServiceId, number>();
    private readonly idleListeners: (() => void)[] = [];
    private count = 0;
    private heldBytes = 0;

    get total(): number {
        return this.count;
    }

    /** Total size reserved for request bodies in memory. */
    get heldBodyBytes(): number {
        return this.heldBytes;
    }

    holdBody(sizeBytes: number): void {
        this.heldBytes += sizeBytes;
    }

    releaseBody(sizeBytes: number): void {
        this.heldBytes -= sizeBytes;
    }

    of(serviceId: ServiceId): number {
        return this.perService.get(serviceId) ?? 0;
    }

    /** Counts a received request, whose service is not known yet. */
    open(): void {
        this.count += 1;
    }

    /** Removes a request whose response was sent or whose connection closed. */
    close(): void {
        this.count -= 1;
        if (this.count === 0) { for (const listener of this.idleListeners.splice(0)) listener(); }
    }

    /** Counts a dispatched request of the service. */
    enter(serviceId: ServiceId): void {
        this.perService.set(serviceId, this.of(serviceId) + 1);
    }

    /** Removes a request of the service that has ended. */
    leave(serviceId: ServiceId): void {
        this.perService.set(serviceId, this.of(serviceId) - 1);
    }

    /** Resolves once no request is in progress. */
    async untilIdle(): Promise<void> {
        if (this.count === 0) return;
        await new Promise<void>(resolve => this.idleListeners.push(resolve));
    }
}
