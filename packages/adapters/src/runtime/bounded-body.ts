import { ByteCollector } from "@skylarkmill/coordination";
import { ProtocolError } from "@skylarkmill/protocol";

/** Reads a whole body as text; rejects with `ProtocolError` as soon as it exceeds `maxBytes`. */
export async function readBoundedBody(
    body: AsyncIterable<Uint8Array>,
    maxBytes: number,
    context: { readonly step: string; readonly peer: string; },
): Promise<string> {
    const collector = new ByteCollector();
    for await (const chunk of body) {
        collector.append(chunk);
        if (collector.byteCount > maxBytes) {
            throw new ProtocolError(`the answer is longer than ${maxBytes} bytes`, context);
        }
    }
    return collector.toBuffer().toString("utf8");
}
