import type { ModelId } from "@skylarkmill/protocol";

/**
 * Tracks the reserved memory of one backend server. A model's memory is reserved before its load order is sent
 * and released after the engine's index shows the model as absent.
 *
 * @example
 * const ledger = new MemoryLedger();
 * ledger.setSize(80e9);
 * if (ledger.tryReserve(modelId, 20e9)) sendLoadOrder();
 */
export class MemoryLedger {
    private readonly reservations = new Map<ModelId, number>();
    private reservedSumBytes = 0;
    private totalBytes = 0;

    get sizeBytes(): number {
        return this.totalBytes;
    }

    get reservedBytes(): number {
        return this.reservedSumBytes;
    }

    /** Can be negative, since memory that the index shows in use is recorded even if it was not reserved. */
    get freeBytes(): number {
        return this.totalBytes - this.reservedSumBytes;
    }

    setSize(sizeBytes: number): void {
        this.totalBytes = sizeBytes;
    }

    reservedBytesFor(modelId: ModelId): number {
        return this.reservations.get(modelId) ?? 0;
    }

    /** Reserves memory for a model. Returns false when it does not fit or the model already has a reservation. */
    tryReserve(modelId: ModelId, bytes: number): boolean {
        if (this.reservations.has(modelId) || bytes > this.freeBytes) return false;
        this.set(modelId, bytes);
        return true;
    }

    /** Records memory that a model uses according to the index, reserved or not. Never lowers a reservation. */
    recordUse(modelId: ModelId, bytes: number): void {
        if (bytes > this.reservedBytesFor(modelId) || !this.reservations.has(modelId)) this.set(modelId, bytes);
    }

    release(modelId: ModelId): void {
        this.reservedSumBytes -= this.reservedBytesFor(modelId);
        this.reservations.delete(modelId);
    }

    private set(modelId: ModelId, bytes: number): void {
        this.reservedSumBytes += bytes - this.reservedBytesFor(modelId);
        this.reservations.set(modelId, bytes);
    }
}
