/**
 * One of several processes at a time holds a duty. Holding it is advisory: writes by the holder
 * are guarded by compare-and-swap, since a paused holder may go on after its lease expired.
 */
export interface DutyLease {
    readonly held: boolean;
    start(): void;
    /** Gives the duty up. */
    stop(): Promise<void>;
}
