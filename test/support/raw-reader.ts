import { connect, type Socket } from "node:net";

/** A caller that reads whatever comes and keeps none of it. */
export class RawReader {
    byteCount = 0;
    private readonly socket: Socket;

    constructor(port: number) {
        this.socket = connect(port, "127.0.0.1");
        this.socket.on("data", (chunk: Buffer) => this.byteCount += chunk.length);
        // Its connection may be reset at any time.
        this.socket.on("error", () => undefined);
    }

    /** Whether the other side has not ended the connection. */
    get isOpen(): boolean {
        return !this.socket.readableEnded && !this.socket.destroyed;
    }

    send(bytes: Buffer): void {
        this.socket.write(bytes);
    }

    close(): void {
        this.socket.destroy();
    }
}
