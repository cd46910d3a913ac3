import type { Socket } from "node:net";
import type { LoopShare } from "../runtime/loop-share.ts";
import type { ReadDebts } from "../runtime/read-debts.ts";
import { getReadHandle } from "./read-handle.ts";

/** Largest number of new connections that wait for their first read from one address that owes time. */
export const MAX_WAITING_PER_ADDRESS = 64;
/** Time that is kept free for the first read of a connection, in milliseconds; a longer one adds to the time. */
const FIRST_READ_MS = 1;

/**
 * Lets new connections take turns if their address has taken more of the event loop than its share: what their first
 * reads take is known only afterwards. Of an address with too many of them, further ones are closed.
 */
export class NewConnections {
    private readonly waitingCounts = new Map<string, number>();

    constructor(private readonly share: LoopShare, private readonly debts: ReadDebts) {}

    /** Called for each connection before it is read. */
    admit(socket: Socket): void {
        const address = socket.remoteAddress;
        const handle = getReadHandle(socket);
        if (address === undefined || handle === undefined || !this.debts.isOwing(address)) return;
        const waitingCount = this.waitingCounts.get(address) ?? 0;
        if (waitingCount >= MAX_WAITING_PER_ADDRESS) {
            socket.destroy();
            return;
        }
        this.waitingCounts.set(address, waitingCount + 1);
        let isWaiting = true;
        const leave = (): void => {
            if (isWaiting) this.leave(address);
            isWaiting = false;
        };
        socket.once("close", leave);
        handle.readStop();
        this.share.wait({
            costMs: FIRST_READ_MS,
            isGone: () => socket.destroyed,
            resume: () => {
                leave();
                handle.readStart();
            },
        });
    }

    private leave(address: string): void {
        const waitingCount = this.waitingCounts.get(address)! - 1;
        if (waitingCount === 0) this.waitingCounts.delete(address);
        else this.waitingCounts.set(address, waitingCount);
    }
}
