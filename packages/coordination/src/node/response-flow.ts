import type { Socket } from "node:net";
import { getReadHandle } from "./read-handle.ts";

/**
 * Stops and continues the reads from the connection of a response in chunks. After the `pause` of the response alone, Node
 * reads on for a while and keeps each chunk for itself.
 *
 * @example
 * request.once("socket", socket => {
 *     flow = new ResponseFlow(socket);
 * });
 * flow.pause();
 * flow.resume();
 */
export class ResponseFlow {
    private isPaused = false;

    constructor(private readonly socket: Socket) {}

    pause(): void {
        this.isPaused = true;
        this.update();
    }

    resume(): void {
        this.isPaused = false;
        this.update();
    }

    private update(): void {
        const handle = getReadHandle(this.socket);
        // Node itself starts one that it has stopped.
        if (handle?.reading !== true) return;
        if (this.isPaused) handle.readStop();
        else handle.readStart();
    }
}
