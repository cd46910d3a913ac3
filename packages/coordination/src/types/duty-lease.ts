/**
 * Lease on a duty that one of several processes performs at a time. The lease is advisory: the holder must guard
 * its writes by compare-and-swap, since a suspended process may continue after its lease has expired.
 */
export interface DutyLease {
    /** Whether this process holds the duty now. */
    readonly isHeld: boolean;
    /** Starts acquiring and renewing the lease in the background. */
    start(): void;
    /** Stops renewing and releases the duty. */
    stop(): Promise<void>;
}
