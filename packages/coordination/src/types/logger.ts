/** The part of a bunyan logger that the coordination parts use. */
export interface Logger {
    debug(fields: object, message: string): void;
    info(fields: object, message: string): void;
    warn(fields: object, message: string): void;
    error(fields: object, message: string): void;
}

/** Discards everything. */
export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};
