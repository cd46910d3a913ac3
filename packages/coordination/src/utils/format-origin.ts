/**
 * Formats the HTTP origin of an IP address and a port.
 *
 * @example
 * formatOrigin("127.0.0.1", 80); // "http://127.0.0.1:80"
 * formatOrigin("::1", 80); // "http://[::1]:80"
 */
export function formatOrigin(address: string, port: number): string {
    return address.includes(":") ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
