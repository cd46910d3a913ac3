import type { Socket } from "node:net";

/** The part of a connection that reads from the operating system; Node's own streams read ahead of a pause. */
export interface ReadHandle {
    /** Whether Node takes it to read; `readStop` doesn't change that. */
    readonly reading: boolean;
    readStart(): void;
    readStop(): void;
}

/** Returns undefined for a connection that has closed. */
export function getReadHandle(socket: Socket): ReadHandle | undefined {
    return (socket as { _handle?: ReadHandle | null; })._handle ?? undefined;
}
