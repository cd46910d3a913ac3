import type { GatewayConfiguration } from "./configuration.ts";
import type { ServerRecord } from "./engine.ts";

/** Decodes the operators' configuration and the backend servers' records from stored text. */
export interface RecordDecoder {
    readonly configurationKey: string;
    readonly serverPrefix: string;
    /** Decodes the configuration; returns undefined if the text is not valid. */
    decodeConfiguration(text: string): GatewayConfiguration | undefined;
    /** Decodes a server's record; returns undefined if the text is not valid. */
    decodeServer(key: string, text: string): ServerRecord | undefined;
}
