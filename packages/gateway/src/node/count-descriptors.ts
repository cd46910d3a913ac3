import { readdirSync } from "node:fs";

/** Counts the open files and sockets of this process; undefined on systems that don't list them. */
export function countDescriptors(): number | undefined {
    try {
        // The descriptor of the list itself is one of them.
        return readdirSync("/dev/fd").length - 1;
    }
    catch {
        return undefined;
    }
}
