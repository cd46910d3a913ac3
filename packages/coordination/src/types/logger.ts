/** Logger used by this package; a subset of the bunyan logger. */
export interface Logger {
    debug(fields: object, message: string): void;
    info(fields: object, message: string): void;
    warn(fields: object, message: string): void;
    error(fields: object, message: string): void;
}

/** Discards all messages. */
export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};
