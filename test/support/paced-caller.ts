import { connect, type Socket } from "node:net";
import { eventually } from "./eventually.ts";

/** A caller that sends bytes of its choice at times of its choice, and keeps what it receives. */
export class PacedCaller {
    received = "";
    /** How the connection ended; `undefined` while it is open. */
    ending: "closed" | "reset" | undefined;
    endedAtMs: number | undefined;
    readonly connectedAtMs = performance.now();
    readonly socket: Socket;
    private dripTimer: NodeJS.Timeout | undefined;

    constructor(port: number) {
        // A caller that leaves its side open shows whether the server closes the connection.
        this.socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true, noDelay: true });
        this.socket.on("data", chunk => this.received += chunk.toString("latin1"));
        this.socket.on("end", () => this.recordEnding("closed"));
        this.socket.on("error", () => this.recordEnding("reset"));
        this.socket.on("close", () => this.recordEnding("closed"));
    }

    send(text: string): this {
        this.socket.write(text, "latin1");
        return this;
    }

    /** Sends the text again and again. */
    drip(text: string, intervalMs: number): this {
        this.dripTimer = setInterval(() => this.socket.write(text, "latin1"), intervalMs);
        return this;
    }

    get statuses(): number[] {
        return [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status));
    }

    /** Waits for responses that show `count` status lines. */
    waitForResponses(count: number, timeoutMs = 5_000): Promise<number[]> {
        return eventually(
            `${count} responses`,
            () => this.statuses.length >= count ? this.statuses : undefined,
            timeoutMs,
        );
    }

    /** Waits until the server ends the connection; returns the time since `sinceMs`. */
    async waitForEnd(sinceMs: number, timeoutMs = 5_000): Promise<number> {
        return await eventually("the connection's end", () => this.endedAtMs, timeoutMs) - sinceMs;
    }

    close(): void {
        clearInterval(this.dripTimer);
        this.socket.destroy();
    }

    private recordEnding(ending: "closed" | "reset"): void {
        this.ending ??= ending;
        this.endedAtMs ??= performance.now();
    }
}
