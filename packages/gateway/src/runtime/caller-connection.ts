import type { ServerResponse } from "node:http";

/** A caller's connection, on which requests may arrive before the earlier ones have their responses. */
export class CallerConnection {
    private newestResponse: ServerResponse | undefined;
    private isEnding = false;

    /** Adds the response to a request; returns false if an earlier response ends the connection. */
    addResponse(response: ServerResponse): boolean {
        if (this.isEnding) return false;
        this.newestResponse = response;
        return true;
    }

    /** Lets a response end the connection, unless a later one is owed; returns whether it does. */
    tryEndWith(response: ServerResponse): boolean {
        if (response !== this.newestResponse) return false;
        this.isEnding = true;
        return true;
    }
}
