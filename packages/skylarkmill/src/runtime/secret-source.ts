import { readFileSync, unwatchFile, watchFile } from "node:fs";

/** Values of a secret that can change while the process runs. */
export interface SecretSource<Value> {
    readonly current: () => Value;
    close(): void;
}

export interface SecretInput<Value> {
    /** Text from a variable. */
    readonly text: string | undefined;
    /** File that is read now and after each change. */
    readonly file: string | undefined;
    /** Throws when the text can't be used. */
    readonly parse: (text: string) => Value;
    readonly onReload: (outcome: "reloaded" | "kept", reason: string | undefined) => void;
}

const POLL_INTERVAL_MS = 1000;

/**
 * Reads a secret from a variable, or from a file that is read again when it changes, so that secrets
 * rotate without a restart. A changed file that can't be used leaves the former value in force.
 *
 * @example
 * const keys = openSecret({ text: undefined, file: "/run/peer-keys", parse: parsePeerKeys, onReload });
 */
export function openSecret<Value>(input: SecretInput<Value>): SecretSource<Value> {
    const { file } = input;
    if (file === undefined) {
        const value = input.parse(input.text ?? "");
        return { current: () => value, close: () => undefined };
    }
    let value = input.parse(readFileSync(file, "utf8"));
    // Polling also sees files that are replaced by a rename or lie on a network mount.
    const listener = (): void => {
        try {
            value = input.parse(readFileSync(file, "utf8"));
            input.onReload("reloaded", undefined);
        }
        catch (cause) {
            input.onReload("kept", cause instanceof Error ? cause.message : String(cause));
        }
    };
    watchFile(file, { interval: POLL_INTERVAL_MS, persistent: false }, listener);
    return { current: () => value, close: () => unwatchFile(file, listener) };
}
