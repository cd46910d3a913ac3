/** Size up to which a body takes room of a budget of its own, so that large bodies leave room for small ones. */
export const MAX_SMALL_BODY_BYTES = 16 * 1024;

/** Largest number of responses that wait for room; of each, what one read of its connection brought is kept, 64 KiB. */
export const MAX_ROOM_WAITERS = 64;
/** Interval at which room is asked for again while something waits for it. */
const ROOM_CHECK_INTERVAL_MS = 200;

/** Waits for room until it is reserved or the wait is cancelled. */
export interface RoomWait {
    cancel(): void;
}

interface Waiter {
    readonly byteCount: number;
    readonly onRoom: () => void;
}

/** Limits the bytes of requests and responses that one process buffers, over all requests. */
export class ByteBudget {
    private usedByteCount = 0;
    private reclaim: (missingByteCount: number) => void = () => undefined;
    private readonly waiters = new Set<Waiter>();
    private checkTimer: NodeJS.Timeout | undefined;
    private nextCheck: NodeJS.Immediate | undefined;

    constructor(private readonly maxByteCount: number) {}

    get byteCount(): number {
        return this.usedByteCount;
    }

    /** Number of those that wait for room. */
    get waiterCount(): number {
        return this.waiters.size;
    }

    /** Sets what is called when there is no room; it may release some. */
    onShort(reclaim: (missingByteCount: number) => void): void {
        this.reclaim = reclaim;
    }

    /**
     * Returns false, and reserves nothing, if the limit would be exceeded, or if something waits for room: it would wait
     * without end if others took what is released.
     */
    tryReserve(byteCount: number): boolean {
        return this.waiters.size === 0 && this.tryExtend(byteCount);
    }

    /** Reserves more for what has room already, whether something waits or not; returns false as `tryReserve` does. */
    tryExtend(byteCount: number): boolean {
        const missingByteCount = this.usedByteCount + byteCount - this.maxByteCount;
        if (missingByteCount > 0) this.reclaim(missingByteCount);
        if (this.usedByteCount + byteCount > this.maxByteCount) return false;
        this.usedByteCount += byteCount;
        return true;
    }

    /**
     * Reserves bytes once there is room, after those that have waited longer, and calls `onRoom` then. Returns undefined if
     * there never will be, or if too many wait already.
     *
     * @example
     * const wait = budget.waitForRoom(4_194_304, () => exchange.resume());
     */
    waitForRoom(byteCount: number, onRoom: () => void): RoomWait | undefined {
        if (byteCount > this.maxByteCount || this.waiters.size >= MAX_ROOM_WAITERS) return undefined;
        const waiter = { byteCount, onRoom };
        this.waiters.add(waiter);
        this.checkTimer ??= setInterval(() => this.serveWaiters(), ROOM_CHECK_INTERVAL_MS);
        return {
            cancel: () => {
                if (this.waiters.delete(waiter)) this.serveWaitersSoon();
            },
        };
    }

    /** Reserves bytes that the process holds already. */
    reserve(byteCount: number): void {
        this.usedByteCount += byteCount;
    }

    release(byteCount: number): void {
        this.usedByteCount -= byteCount;
        if (this.waiters.size > 0) this.serveWaitersSoon();
    }

    /** A response that is complete releases its bytes and reserves them again, until its caller has read them. */
    private serveWaitersSoon(): void {
        this.nextCheck ??= setImmediate(() => this.serveWaiters());
    }

    private serveWaiters(): void {
        this.nextCheck = undefined;
        for (const waiter of this.waiters) {
            if (!this.tryExtend(waiter.byteCount)) break;
            this.waiters.delete(waiter);
            waiter.onRoom();
        }
        if (this.waiters.size > 0) return;
        clearInterval(this.checkTimer);
        this.checkTimer = undefined;
    }
}
