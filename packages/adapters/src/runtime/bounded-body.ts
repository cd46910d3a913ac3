import { ProtocolError } from "@skylarkmill/protocol";

/** Reads a whole body as text; rejects with `ProtocolError` as soon as it exceeds `maxBytes`. */
export async function readBoundedBody(
    body: AsyncIterable<Uint8Array>,
    maxBytes: number,
    context: { readonly step: string; readonly peer: string; },
): Promise<string> {
    const chunks: Uint8Array[] = [];
    let sizeBytes = 0;
    for await (const chunk of body) {
        sizeBytes += chunk.byteLength;
        if (sizeBytes > maxBytes) throw new ProtocolError(`the answer is longer than ${maxBytes} bytes`, context);
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
