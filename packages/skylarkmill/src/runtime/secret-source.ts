import { readFileSync, unwatchFile, watchFile } from "node:fs";

/** Provides the current value of a secret that can change while the process runs. */
export interface SecretSource<Value> {
    readonly current: () => Value;
    close(): void;
}

export interface SecretSourceOptions<Value> {
    /** Text of the environment variable; used when there is no file. */
    readonly text: string | undefined;
    /** Path of a file that is read immediately and again after each change. */
    readonly file: string | undefined;
    /** Throws when the text is invalid. */
    readonly parse: (text: string) => Value;
    /**
     * Called after each change of the file. `rejected` means that the new content can't be read or is invalid, for the
     * given reason, and that the previous value stays in force.
     */
    readonly onReload: (outcome: "reloaded" | "rejected", reason: string | undefined) => void;
}

const SECRET_FILE_POLL_INTERVAL_MS = 1000;

/**
 * Reads a secret from an environment variable, or from a file that is read again when it changes, so that secrets can
 * be rotated without a restart. If a changed file is missing or invalid, the previous value stays in force.
 *
 * @example
 * const keys = openSecretSource({ text: undefined, file: "/run/peer-keys", parse: parsePeerKeys, onReload });
 */
export function openSecretSource<Value>(options: SecretSourceOptions<Value>): SecretSource<Value> {
    const { file } = options;
    if (file === undefined) {
        const value = options.parse(options.text ?? "");
        return { current: () => value, close: () => undefined };
    }
    let value = options.parse(readFileSync(file, "utf8"));
    // Polling also detects changes of files that are replaced by a rename or are on a network mount.
    const listener = (): void => {
        try {
            value = options.parse(readFileSync(file, "utf8"));
            options.onReload("reloaded", undefined);
        }
        catch (cause) {
            options.onReload("rejected", cause instanceof Error ? cause.message : String(cause));
        }
    };
    watchFile(file, { interval: SECRET_FILE_POLL_INTERVAL_MS, persistent: false }, listener);
    return { current: () => value, close: () => unwatchFile(file, listener) };
}
