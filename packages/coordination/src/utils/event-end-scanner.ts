const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Finds the ends of server-sent events in a byte stream that comes in pieces. Each byte is scanned once, so that the work
 * grows linearly with the stream.
 *
 * @example
 * const scanner = new EventEndScanner();
 * scanner.findEnd(Buffer.from("data: x\n"), 0); // 0
 * scanner.findEnd(Buffer.from("\ndata: y"), 0); // 1
 */
export class EventEndScanner {
    /** End of the bytes so far: whether the last line is empty so far, and whether a line end may follow. */
    private isAtLineStart = false;
    private isAfterCarriageReturn = false;

    /** Returns the index after the blank line that ends the event; 0 while the event is incomplete. */
    findEnd(chunk: Buffer, start: number): number {
        let index = start;
        while (index < chunk.length) {
            if (this.isAtLineStart) {
                const byte = chunk[index]!;
                index += 1;
                if (byte === LINE_FEED) {
                    this.isAtLineStart = false;
                    this.isAfterCarriageReturn = false;
                    return index;
                }
                if (byte === CARRIAGE_RETURN && !this.isAfterCarriageReturn) this.isAfterCarriageReturn = true;
                else this.isAtLineStart = false;
                continue;
            }
            const lineEnd = chunk.indexOf(LINE_FEED, index);
            if (lineEnd < 0) return 0;
            this.isAtLineStart = true;
            this.isAfterCarriageReturn = false;
            index = lineEnd + 1;
        }
        return 0;
    }
}
