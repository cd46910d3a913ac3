import { LocalFileSource, readFileText } from "@skylarkmill/coordination";
import { readFileSync, unwatchFile, watchFile } from "node:fs";

/** Provides the current value of a secret that can change while the process runs. */
export interface SecretSource<Value> {
    readonly current: () => Value;
    close(): void;
}

export interface SecretSourceOptions<Value> {
    /** Text at the start, from the environment variable or the file. */
    readonly text: string | undefined;
    /** Path of the file that is read again after each change, if the text comes from one. */
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
 * Holds a secret from an environment variable, or from a file that is read again when it changes, so that secrets can
 * be rotated without a restart. If a changed file is missing or invalid, the previous value stays in force.
 *
 * @example
 * const keys = openSecretSource({ text, file: "/run/peer-keys", parse: parsePeerKeys, onReload });
 */
export function openSecretSource<Value>(options: SecretSourceOptions<Value>): SecretSource<Value> {
    const { file } = options;
    let value = options.parse(options.text ?? "");
    if (file === undefined) return { current: () => value, close: () => undefined };
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
    const source = new LocalFileSource(file);
    const hasChanged = !source.isReadOnce() && readFileText(source).unwrapOr(undefined) !== options.text;
    if (hasChanged) listener();
    return { current: () => value, close: () => unwatchFile(file, listener) };
}
