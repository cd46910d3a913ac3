import type { ServiceId } from "@skylarkmill/protocol";

/** Requests in progress, per service and in all. */
export class RequestCounts {
    private readonly perService = new Map<ServiceId, number>();
    private readonly idleListeners: (() => void)[] = [];
    private count = 0;
    private heldBytes = 0;

    get total(): number {
        return this.count;
    }

    /** Bytes of request bodies in memory. */
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

    /** A request was received; its service is not known yet. */
    open(): void {
        this.count += 1;
    }

    /** The answer was handed over or the connection closed. */
    close(): void {
        this.count -= 1;
        if (this.count === 0) { for (const listener of this.idleListeners.splice(0)) listener(); }
    }

    enter(serviceId: ServiceId): void {
        this.perService.set(serviceId, this.of(serviceId) + 1);
    }

    leave(serviceId: ServiceId): void {
        this.perService.set(serviceId, this.of(serviceId) - 1);
    }

    /** Resolves once no request is in progress. */
    async untilIdle(): Promise<void> {
        if (this.count === 0) return;
        await new Promise<void>(resolve => this.idleListeners.push(resolve));
    }
}
