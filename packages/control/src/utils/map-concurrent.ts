/**
 * Maps items through an asynchronous function with limited concurrency. The outputs are in the order of the items.
 *
 * @example
 * const statuses = await mapConcurrent(hosts, 32, host => readStatus(host));
 */
export async function mapConcurrent<Item, Output>(
    items: readonly Item[],
    maxInFlight: number,
    call: (item: Item) => Promise<Output>,
): Promise<Output[]> {
    const outputs = new Array<Output>(items.length);
    let next = 0;
    const worker = async () => {
        while (next < items.length) {
            const index = next;
            next += 1;
            outputs[index] = await call(items[index]!);
        }
    };
    await Promise.all(Array.from({ length: Math.min(maxInFlight, items.length) }, worker));
    return outputs;
}
