import { PeerService } from "@skylarkmill/protocol";

const FRAME_HEADER_BYTES = 9;

/** Types of HTTP/2 frames (RFC 9113, section 6). */
export const FRAME = { data: 0, headers: 1, reset: 3, settings: 4, ping: 6, windowUpdate: 8, continuation: 9 } as const;
export const FLAG = { endStream: 1, endHeaders: 4 } as const;

export const PREFACE = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "latin1");

/** Creates an HTTP/2 frame. */
export function createFrame(type: number, flags: number, streamId: number, payload: Buffer = Buffer.alloc(0)): Buffer {
    const header = Buffer.alloc(FRAME_HEADER_BYTES);
    header.writeUIntBE(payload.length, 0, 3);
    header.writeUInt8(type, 3);
    header.writeUInt8(flags, 4);
    header.writeUInt32BE(streamId, 5);
    return Buffer.concat([header, payload]);
}

/** Encodes a text of up to 126 bytes as HPACK does, without Huffman coding (RFC 7541, section 5.2). */
export function encodeText(text: string): Buffer {
    return Buffer.concat([Buffer.from([text.length]), Buffer.from(text, "latin1")]);
}

/** Encodes a header that HPACK keeps in its table. */
export function encodeKeptHeader(name: string, value: string): Buffer {
    return Buffer.concat([Buffer.from([0x40]), encodeText(name), encodeText(value)]);
}

/** Header block of a call of the peers' interface without a key. */
export function createCallHeaders(method = "Exchange"): Buffer {
    const path = `/${PeerService.typeName}/${method}`;
    return Buffer.concat([
        // Indexes of `:method POST` and `:scheme http` in HPACK's static table.
        Buffer.from([0x83, 0x86, 0x04]),
        encodeText(path),
        Buffer.from([0x01]),
        encodeText("h"),
        // `content-type`, index 31.
        Buffer.from([0x0f, 0x10]),
        encodeText("application/proto"),
    ]);
}

/** Opening of a connection. */
export const OPENING = Buffer.concat([PREFACE, createFrame(FRAME.settings, 0, 0)]);
