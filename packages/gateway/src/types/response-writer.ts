import type { Refusal } from "@skylarkmill/protocol";

/** Writes the response of a request to its caller. */
export interface ResponseWriter {
    /** Whether the head has been written. */
    readonly hasStarted: boolean;
    /** Registers a listener that is called if the caller closes its connection before the response is complete. */
    onCallerDisconnect(listener: () => void): void;
    /** Writes a whole response, whose end has been verified. */
    sendComplete(status: number, headers: readonly string[], body: readonly Buffer[]): void;
    /** Writes a whole response that came without a length, so that a server that broke it off may have cut it. */
    sendUnverified(status: number, headers: readonly string[], body: readonly Buffer[]): void;
    /** Starts a response whose body follows in parts; a caller can tell its end from a cut. */
    start(status: number, headers: readonly string[]): void;
    /** Returns false if the write buffer is full because the caller reads more slowly. */
    write(chunk: Buffer): boolean;
    onDrain(listener: () => void): void;
    end(): void;
    /** Writes a refusal as the whole response. */
    refuse(refusal: Refusal): void;
    /** Closes or resets the connection, so that a response that has started doesn't look complete. */
    abort(): void;
}
