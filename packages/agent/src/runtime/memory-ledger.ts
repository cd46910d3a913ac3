import type { ModelId } from "@skylarkmill/protocol";

/**
 * Memory of one backend server. A model's memory is reserved before its load order goes out
 * and released after the engine's index shows it absent.
 *
 * @example
 * const ledger = new MemoryLedger();
 * ledger.setSize(80e9);
 * if (ledger.tryReserve(modelId, 20e9)) sendLoadOrder();
 */
export class MemoryLedger {
    private readonly reservations = new Map<ModelId, number>();
    private sum = 0;
    private size = 0;

    get sizeBytes(): number {
        return this.size;
    }

    get reservedBytes(): number {
        return this.sum;
    }

    /** Negative when the index showed more than the agent had reserved. */
    get freeBytes(): number {
        return this.size - this.sum;
    }

    setSize(sizeBytes: number): void {
        this.size = sizeBytes;
    }

    reservedFor(modelId: ModelId): number {
        return this.reservations.get(modelId) ?? 0;
    }

    /** Reserves memory for a model without a reservation; false when it does not fit. */
    tryReserve(modelId: ModelId, bytes: number): boolean {
        if (this.reservations.has(modelId) || bytes > this.freeBytes) return false;
        this.set(modelId, bytes);
        return true;
    }

    /** Counts memory that the index shows in use, whether it was reserved or not. Never lowers a reservation. */
    account(modelId: ModelId, bytes: number): void {
        if (bytes > this.reservedFor(modelId) || !this.reservations.has(modelId)) this.set(modelId, bytes);
    }

    release(modelId: ModelId): void {
        this.sum -= this.reservedFor(modelId);
        this.reservations.delete(modelId);
    }

    private set(modelId: ModelId, bytes: number): void {
        this.sum += bytes - this.reservedFor(modelId);
        this.reservations.set(modelId, bytes);
    }
}
