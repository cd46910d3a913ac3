/**
 * An unbounded message queue with a single reader, which iterates over it.
 *
 * @example
 * const mailbox = new Mailbox<{ kind: "stop" }>();
 * mailbox.post({ kind: "stop" });
 * for await (const message of mailbox) { ... }
 */
export class Mailbox<Message> implements AsyncIterable<Message> {
    private readonly messages: Message[] = [];
    private wakeReader: (() => void) | undefined;
    private isClosed = false;

    /** Number of messages that have not been read. */
    get size(): number {
        return this.messages.length;
    }

    /** Adds a message; returns false after `close`. */
    post(message: Message): boolean {
        if (this.isClosed) return false;
        this.messages.push(message);
        this.wakeReader?.();
        return true;
    }

    /** Ends the iteration once the messages already posted have been read. */
    close(): void {
        this.isClosed = true;
        this.wakeReader?.();
    }

    async *[Symbol.asyncIterator](): AsyncIterator<Message> {
        for (;;) {
            while (this.messages.length > 0) yield this.messages.shift()!;
            if (this.isClosed) return;
            await new Promise<void>(resolve => {
                this.wakeReader = resolve;
            });
            this.wakeReader = undefined;
        }
    }
}
