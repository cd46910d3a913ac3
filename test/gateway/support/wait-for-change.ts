import type { StoreView } from "@skylarkmill/gateway";

const LONG_POLL_MS = 500;

/** Waits until the view changes, but no longer than a reader holds a request for changes. */
export function waitForChange(view: StoreView): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            clearTimeout(timer);
            removeListener();
            resolve();
        };
        const timer = setTimeout(finish, LONG_POLL_MS);
        const removeListener = view.onChange(finish);
    });
}
