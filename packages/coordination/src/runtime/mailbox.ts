/**
 * An unbounded queue of messages to one task; the task alone reads it.
 *
 * @example
 * const mailbox = new Mailbox<{ kind: "stop" }>();
 * mailbox.post({ kind: "stop" });
 * for await (const message of mailbox) { ... }
 */
export class Mailbox<Message> implements AsyncIterable<Message> {
    private readonly messages: Message[] = [];
    private wake: (() => void) | undefined;
    private closed = false;

    get size(): number {
        return this.messages.length;
    }

    /** Adds a message; returns false after `close`. */
    post(message: Message): boolean {
        if (this.closed) return false;
        this.messages.push(message);
        this.wake?.();
        return true;
    }

    /** Ends the iteration once the messages already posted have been read. */
    close(): void {
        this.closed = true;
        this.wake?.();
    }

    async *[Symbol.asyncIterator](): AsyncIterator<Message> {
        for (;;) {
            while (this.messages.length > 0) yield this.messages.shift()!;
            if (this.closed) return;
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
            this.wake = undefined;
        }
    }
}
