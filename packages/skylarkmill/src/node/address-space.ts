import { SkylarkmillError } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";

/** A resource limit of the system leaves no room for what the process needs. */
export class ResourceLimitError extends SkylarkmillError {
    readonly code = "resource_limit";
}

// The types of Node.js don't declare it.
interface WebAssemblyGlobal {
    readonly WebAssembly: { readonly Memory: new(descriptor: { readonly initial: number; }) => unknown; };
}

/**
 * Checks that undici's parser, a WebAssembly module, can get its memory. V8 reserves 10 GB of address space for each such
 * memory unless its trap handler is disabled; without the parser, all calls to other processes fail.
 */
export function checkAddressSpace(): Result<void, ResourceLimitError> {
    try {
        new (globalThis as unknown as WebAssemblyGlobal).WebAssembly.Memory({ initial: 1 });
        return ok(undefined);
    }
    catch (cause) {
        const message = "the limit on address space (ulimit -v) is too low for WebAssembly; raise it to at least 12 GB,"
            + " or start node with --disable-wasm-trap-handler";
        return err(new ResourceLimitError(message, { step: "start.memory", peer: "local", cause }));
    }
}
