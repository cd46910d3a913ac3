import type { ServerResponse } from "node:http";

/** A caller's connection, on which requests may arrive before the earlier ones have their responses. */
export class CallerConnection {
    private newestResponse: ServerResponse | undefined;
    private isEnding = false;

    /** @param hasWaiting Whether requests of the connection wait for the response before them. */
    constructor(private readonly hasWaiting: () => boolean) {}

    /** Adds the response to a request; returns false if an earlier response ends the connection. */
    addResponse(response: ServerResponse): boolean {
        if (this.isEnding) return false;
        this.newestResponse = response;
        return true;
    }

    /** Lets a response end the connection, unless a later one is owed; returns whether it does. */
    tryEndWith(response: ServerResponse): boolean {
        if (response !== this.newestResponse || this.hasWaiting()) return false;
        this.isEnding = true;
        return true;
    }
}
